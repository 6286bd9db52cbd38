package org.chivecourse.configuration.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * A revision of the configuration.
 *
 * @param revision the number that orders revisions, at least one
 * @param parentDigest the digest of the configuration that this one changes, empty for the first
 * @param services the services
 * @param callerRoutes the rules by host name and path; without any, the path prefixes of services decide
 * @param callerLimits the bounds on what callers may send
 */
public record Configuration(
        long revision,
        String parentDigest,
        List<Service> services,
        List<CallerRoute> callerRoutes,
        CallerLimits callerLimits) {

    /**
     * Creates a configuration whose lists are copied.
     */
    public Configuration {
        services = List.copyOf(services);
        callerRoutes = List.copyOf(callerRoutes);
    }

    /**
     * Creates a configuration without routes by host name and without bounds on callers.
     *
     * @param revision the number that orders revisions, at least one
     * @param parentDigest the digest of the configuration that this one changes, empty for the first
     * @param services the services
     */
    public Configuration(long revision, String parentDigest, List<Service> services) {
        this(revision, parentDigest, services, List.of(), CallerLimits.UNBOUNDED);
    }

    /**
     * Creates a configuration without services.
     *
     * @param revision the number that orders revisions
     * @return the configuration
     */
    public static Configuration revision(long revision) {
        return new Configuration(revision, "", List.of());
    }

    /**
     * Returns this configuration with one more service.
     *
     * @param service the service
     * @return the changed configuration
     */
    public Configuration service(Service service) {
        List<Service> extendedServices = new ArrayList<>(services);
        extendedServices.add(service);
        return new Configuration(revision, parentDigest, extendedServices, callerRoutes, callerLimits);
    }

    /**
     * Returns this configuration with a service replaced by one of the same name.
     *
     * @param service the service
     * @return the changed configuration
     */
    public Configuration replacing(Service service) {
        List<Service> changedServices = new ArrayList<>(services);
        changedServices.replaceAll(current -> current.name().equals(service.name()) ? service : current);
        return new Configuration(revision, parentDigest, changedServices, callerRoutes, callerLimits);
    }

    /**
     * Returns this configuration with one more route by host name.
     *
     * @param route the route
     * @return the changed configuration
     */
    public Configuration callerRoute(CallerRoute route) {
        List<CallerRoute> extendedRoutes = new ArrayList<>(callerRoutes);
        extendedRoutes.add(route);
        return new Configuration(revision, parentDigest, services, extendedRoutes, callerLimits);
    }

    /**
     * Returns this configuration with bounds on what callers may send.
     *
     * @param limits the bounds
     * @return the changed configuration
     */
    public Configuration callerLimits(CallerLimits limits) {
        return new Configuration(revision, parentDigest, services, callerRoutes, limits);
    }

    /**
     * Returns this configuration's content as a revision that changes another configuration.
     *
     * @param newRevision the number that orders revisions
     * @param digest the digest of the configuration that the new one changes
     * @return the new configuration
     */
    public Configuration following(long newRevision, String digest) {
        return new Configuration(newRevision, digest, services, callerRoutes, callerLimits);
    }

    /**
     * Returns the service with a name.
     *
     * @param name the name
     * @return the service, if there is one
     */
    public Optional<Service> service(String name) {
        return services.stream().filter(service -> service.name().equals(name)).findFirst();
    }

    /**
     * Returns the service with the longest path prefix that covers a path.
     *
     * @param path the path of a request without its query
     * @return the service, if there is one
     */
    public Optional<Service> serviceFor(String path) {
        Service longestMatch = null;
        for (Service service : services) {
            if (!PathPrefix.covers(service.pathPrefix(), path)) {
                continue;
            }
            if (longestMatch == null
                    || service.pathPrefix().length() > longestMatch.pathPrefix().length()) {
                longestMatch = service;
            }
        }
        return Optional.ofNullable(longestMatch);
    }
}
