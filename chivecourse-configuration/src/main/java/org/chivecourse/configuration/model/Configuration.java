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
 */
public record Configuration(long revision, String parentDigest, List<Service> services) {

    /**
     * Creates a configuration whose services are copied.
     */
    public Configuration {
        services = List.copyOf(services);
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
        List<Service> longer = new ArrayList<>(services);
        longer.add(service);
        return new Configuration(revision, parentDigest, longer);
    }

    /**
     * Returns this configuration with a service replaced by one of the same name.
     *
     * @param service the service
     * @return the changed configuration
     */
    public Configuration replacing(Service service) {
        List<Service> changed = new ArrayList<>(services);
        changed.replaceAll(old -> old.name().equals(service.name()) ? service : old);
        return new Configuration(revision, parentDigest, changed);
    }

    /**
     * Returns this configuration's content as a revision that changes another configuration.
     *
     * @param newRevision the number that orders revisions
     * @param digest the digest of the configuration that the new one changes
     * @return the new configuration
     */
    public Configuration following(long newRevision, String digest) {
        return new Configuration(newRevision, digest, services);
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
        Service best = null;
        for (Service service : services) {
            if (!PathPrefix.covers(service.pathPrefix(), path)) {
                continue;
            }
            if (best == null
                    || service.pathPrefix().length() > best.pathPrefix().length()) {
                best = service;
            }
        }
        return Optional.ofNullable(best);
    }
}
