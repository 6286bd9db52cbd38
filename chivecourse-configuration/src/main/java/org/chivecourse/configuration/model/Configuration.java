package org.chivecourse.configuration.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * A revision of the configuration.
 *
 * @param revision the number by which revisions are ordered, at least one
 * @param parentDigest the digest of the configuration that this one replaces, empty for the first
 * @param services the services
 * @param callerRoutes the routes by host name and path; if empty, requests are routed by the path prefixes of services
 * @param callerLimits the limits for callers
 * @param evacuatedDataCentres the data centres whose backend servers get no requests
 */
public record Configuration(
        long revision,
        String parentDigest,
        List<Service> services,
        List<CallerRoute> callerRoutes,
        CallerLimits callerLimits,
        List<String> evacuatedDataCentres) {

    /** Creates a configuration with immutable copies of its lists. */
    public Configuration {
        services = List.copyOf(services);
        callerRoutes = List.copyOf(callerRoutes);
        evacuatedDataCentres = List.copyOf(evacuatedDataCentres);
    }

    /**
     * Creates a configuration without evacuated data centres.
     *
     * @param revision the number by which revisions are ordered, at least one
     * @param parentDigest the digest of the configuration that this one replaces, empty for the first
     * @param services the services
     * @param callerRoutes the routes by host name and path
     * @param callerLimits the limits for callers
     */
    public Configuration(
            long revision,
            String parentDigest,
            List<Service> services,
            List<CallerRoute> callerRoutes,
            CallerLimits callerLimits) {
        this(revision, parentDigest, services, callerRoutes, callerLimits, List.of());
    }

    /**
     * Creates a configuration without routes by host name and without limits for callers.
     *
     * @param revision the number by which revisions are ordered, at least one
     * @param parentDigest the digest of the configuration that this one replaces, empty for the first
     * @param services the services
     */
    public Configuration(long revision, String parentDigest, List<Service> services) {
        this(revision, parentDigest, services, List.of(), CallerLimits.UNBOUNDED);
    }

    /**
     * Creates a configuration without services and without a parent.
     *
     * @param revision the number by which revisions are ordered, at least one
     * @return the configuration
     */
    public static Configuration revision(long revision) {
        return new Configuration(revision, "", List.of());
    }

    /** Returns a copy of this configuration with an additional service. */
    public Configuration service(Service service) {
        List<Service> extendedServices = new ArrayList<>(services);
        extendedServices.add(service);
        return new Configuration(
                revision, parentDigest, extendedServices, callerRoutes, callerLimits, evacuatedDataCentres);
    }

    /**
     * Returns a copy of this configuration in which the service of the same name is replaced. If there is none, nothing
     * changes.
     *
     * @param service the new service
     * @return the changed configuration
     */
    public Configuration replacing(Service service) {
        List<Service> changedServices = new ArrayList<>(services);
        changedServices.replaceAll(current -> current.name().equals(service.name()) ? service : current);
        return new Configuration(
                revision, parentDigest, changedServices, callerRoutes, callerLimits, evacuatedDataCentres);
    }

    /** Returns a copy of this configuration with an additional route by host name. */
    public Configuration callerRoute(CallerRoute route) {
        List<CallerRoute> extendedRoutes = new ArrayList<>(callerRoutes);
        extendedRoutes.add(route);
        return new Configuration(revision, parentDigest, services, extendedRoutes, callerLimits, evacuatedDataCentres);
    }

    /** Returns a copy of this configuration with other limits for callers. */
    public Configuration callerLimits(CallerLimits limits) {
        return new Configuration(revision, parentDigest, services, callerRoutes, limits, evacuatedDataCentres);
    }

    /** Returns a copy of this configuration with other evacuated data centres. */
    public Configuration evacuatedDataCentres(List<String> dataCentres) {
        return new Configuration(revision, parentDigest, services, callerRoutes, callerLimits, dataCentres);
    }

    /**
     * Returns the content of this configuration as a new revision that replaces another configuration.
     *
     * @param newRevision the number by which revisions are ordered
     * @param digest the digest of the replaced configuration
     * @return the new configuration
     */
    public Configuration following(long newRevision, String digest) {
        return new Configuration(newRevision, digest, services, callerRoutes, callerLimits, evacuatedDataCentres);
    }

    /** Returns the service with a name, empty if there is none. */
    public Optional<Service> service(String name) {
        return services.stream().filter(service -> service.name().equals(name)).findFirst();
    }

    /**
     * Returns the service with the longest path prefix that covers a path.
     *
     * @param path the path of a request without its query
     * @return the service, empty if no path prefix covers the path
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
