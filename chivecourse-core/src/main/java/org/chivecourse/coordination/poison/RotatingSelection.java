package org.chivecourse.coordination.poison;

import java.util.ArrayList;
import java.util.List;

/** Selects a few elements of a list at a time, so that consecutive selections return all of them. */
final class RotatingSelection {

    /** The number of elements selected so far, which is also the position of the next one, modulo the size. */
    private int next;

    /** Returns up to a maximum of elements. */
    <T> List<T> select(List<T> all, int maximum) {
        List<T> selected = new ArrayList<>();
        for (int count = 0; count < Math.min(maximum, all.size()); count++) {
            selected.add(all.get(Math.floorMod(next++, all.size())));
        }
        return selected;
    }
}
