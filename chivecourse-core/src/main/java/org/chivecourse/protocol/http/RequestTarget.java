package org.chivecourse.protocol.http;

import org.chivecourse.configuration.model.MalformedPathException;
import org.chivecourse.configuration.model.NormalizedPath;

/**
 * The target of a request.
 *
 * @param path the normalized path without the query, which routing rules are matched against
 * @param pathAndQuery the path and query as the caller sent them, which are forwarded to backend servers
 */
public record RequestTarget(String path, String pathAndQuery) {

    /**
     * Parses the target of a request.
     *
     * @param target the target as the caller sent it, in origin form or absolute form
     * @return the target
     * @throws BadRequestException if the target is malformed, or a backend server could interpret the path differently
     *     from the routing rules
     */
    public static RequestTarget parse(String target) throws BadRequestException {
        String originForm = toOriginForm(target);
        int query = originForm.indexOf('?');
        String rawPath = query < 0 ? originForm : originForm.substring(0, query);
        try {
            return new RequestTarget(NormalizedPath.ofRequest(rawPath), originForm);
        } catch (MalformedPathException exception) {
            throw new BadRequestException(exception.getMessage());
        }
    }

    /**
     * Removes the scheme and authority from a target in absolute form.
     *
     * @param target the target as the caller sent it
     * @return the path and query
     * @throws BadRequestException if the target has neither origin form nor absolute form
     */
    private static String toOriginForm(String target) throws BadRequestException {
        if (target.startsWith("/")) {
            return target;
        }
        int authority = target.indexOf("://");
        if (authority < 0) {
            throw new BadRequestException("target \"" + target + "\" is not a path");
        }
        int path = target.indexOf('/', authority + 3);
        return path < 0 ? "/" : target.substring(path);
    }
}
