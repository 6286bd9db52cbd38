package org.chivecourse.coordination.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.chivecourse.protocol.peer.PublicationCodec;
import org.chivecourse.state.fleet.FleetDigest;
import org.chivecourse.state.fleet.Observation;
import org.chivecourse.state.publication.PublishedItem;

/** Publishes configurations to a fleet with narrow links and processors, and measures how they spread. */
final class ConfigurationSpread {

    /** The number of routes of a configuration of about 14 KB. */
    static final int SMALL_ROUTES = 128;

    /** The number of routes of a configuration of about 150 KB. */
    static final int LARGE_ROUTES = 1400;

    private static final int SERVERS = 217;

    private static final int LEAST_WATCHERS = 2;

    /** The time after which the first watches of gateways that do not watch for good have ended. */
    private static final long WARM_UP_MILLISECONDS = 4000;

    private final int gateways;

    private final LimitedLinks links;

    private final FleetNetwork network;

    private final List<String> hosts;

    private long configurationRevision = 1;

    private int configurationBytes;

    private int compressedBytes;

    private long publishedAt;

    /** Starts a fleet that uses a configuration of about 14 KB. */
    ConfigurationSpread(int gateways, FleetLimits limits) {
        this.gateways = gateways;
        links = new LimitedLinks(limits, gateways);
        List<PublishedItem> published = new ArrayList<>();
        PublishedItem first = FleetConfigurations.ofRoutes(1, SMALL_ROUTES);
        published.add(new PublishedItem(first.key(), 1, first.value()));
        for (int number = 1; number <= SERVERS; number++) {
            published.add(TextDecoder.server("i" + number, 1, "ready"));
        }
        network = new FleetNetwork(gateways, false, links, new CachedDecoder(), published);
        hosts = IntStream.range(0, gateways).mapToObj(FleetNetwork::name).toList();
        network.advance(WARM_UP_MILLISECONDS);
        network.clearDecisions();
        links.clearTraffic();
        if (countBehind(1, network.now(), 0) > 0) {
            throw new IllegalStateException("the fleet has not started");
        }
    }

    FleetNetwork network() {
        return network;
    }

    LimitedLinks links() {
        return links;
    }

    /** Publishes a configuration with a number of routes and returns its revision. */
    long publish(int routes) {
        PublishedItem item = FleetConfigurations.ofRoutes(++configurationRevision, routes);
        configurationBytes = item.value().length;
        FleetDigest.Changes changes = new FleetDigest.Changes(0, 2, List.of(item));
        compressedBytes = CompressedSize.of(PublicationCodec.encode(changes).toByteArray());
        publishedAt = network.now();
        network.publish(item);
        return configurationRevision;
    }

    /** Returns the number of bytes that each gateway sent since the traffic was last cleared. */
    List<Long> bytesSent() {
        return IntStream.range(0, gateways)
                .mapToObj(number -> links.traffic(number).bytesSent())
                .toList();
    }

    /** Returns how many digests a gateway sent and received on average since the traffic was last cleared. */
    double digestsPerGateway() {
        int digests = 0;
        for (int number = 0; number < gateways; number++) {
            digests +=
                    links.traffic(number).digestsSent() + links.traffic(number).digestsReceived();
        }
        return (double) digests / gateways;
    }

    /** Returns the compressed size of the latest published configuration, in bytes. */
    int compressedBytes() {
        return compressedBytes;
    }

    /** Returns the time at which the latest configuration was published, in nanoseconds. */
    long publishedAt() {
        return publishedAt;
    }

    /** Returns the number of running gateways that did not use a configuration within a time of its publication. */
    int countBehind(long revision, long published, long milliseconds) {
        long deadline = published + milliseconds * FleetNetwork.NANOSECONDS_PER_MILLISECOND;
        int behind = 0;
        for (String host : hosts) {
            behind += network.isRunning(host) && network.configurationTimes().usedAt(host, revision) > deadline ? 1 : 0;
        }
        return behind;
    }

    /** Advances virtual time until all running gateways use a configuration, but at most for a time. */
    void awaitUse(long revision, long milliseconds) {
        long end = network.now() + milliseconds * FleetNetwork.NANOSECONDS_PER_MILLISECOND;
        while (network.now() < end && countBehind(revision, network.now(), 0) > 0) {
            network.advance(10);
        }
    }

    /** Returns the numbers of the gateways that watch the publisher, at least two. */
    List<Integer> awaitWatchers() {
        while (network.watchers().size() < LEAST_WATCHERS) {
            network.advance(10);
        }
        return network.watchers();
    }

    /** Adds an observation to those that each gateway has not reported yet, for a time. */
    void observe(long milliseconds) {
        for (long elapsed = 0; elapsed < milliseconds; elapsed += 10) {
            for (int number = 0; number < gateways; number++) {
                Observation observation = Observation.ofDispatched("i" + (1 + number % SERVERS), 1, network.now());
                network.core(number).services().observations().add(observation);
            }
            network.advance(10);
        }
    }

    /** Returns the figures of the latest configuration, with the traffic since it was last cleared. */
    SpreadFigures figures(long milliseconds) {
        List<Long> used = network.configurationTimes()
                .usedAt(hosts.stream().filter(network::isRunning).toList(), configurationRevision);
        List<GatewayTraffic> traffic =
                IntStream.range(0, gateways).mapToObj(links::traffic).toList();
        double gatewaySeconds = gateways * milliseconds / 1000.0;
        return new SpreadFigures(
                gateways,
                configurationBytes,
                compressedBytes,
                sincePublication(used.get(used.size() / 2)),
                sincePublication(used.get(used.size() - 1)),
                countBehind(configurationRevision, publishedAt, 2000),
                traffic.stream().mapToInt(GatewayTraffic::digestsSent).sum() / gatewaySeconds,
                traffic.stream().mapToInt(GatewayTraffic::digestsReceived).sum() / gatewaySeconds,
                traffic.stream().mapToInt(GatewayTraffic::datagramsLost).sum(),
                traffic.stream().mapToInt(GatewayTraffic::pullsServed).sum(),
                traffic.stream().mapToInt(GatewayTraffic::pullsServed).max().orElseThrow(),
                traffic.stream().mapToLong(GatewayTraffic::bytesSent).sum() / gateways,
                traffic.stream().mapToLong(GatewayTraffic::bytesSent).max().orElseThrow());
    }

    private long sincePublication(long usedAt) {
        return usedAt == Long.MAX_VALUE ? -1 : (usedAt - publishedAt) / FleetNetwork.NANOSECONDS_PER_MILLISECOND;
    }
}
