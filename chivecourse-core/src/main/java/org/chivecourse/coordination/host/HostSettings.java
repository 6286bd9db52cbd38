package org.chivecourse.coordination.host;

import org.chivecourse.coordination.choice.ChoicePolicy;

/**
 * What a decision core knows of its host from the start.
 *
 * @param name the name of the host
 * @param dataCentre the name of the data centre that the host stands in
 * @param policy the way to choose a backend server
 * @param largestCalls the number of calls that the host holds at the same time
 */
public record HostSettings(String name, String dataCentre, ChoicePolicy policy, int largestCalls) {}
