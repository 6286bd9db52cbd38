package org.chivecourse.transport.http;

import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.ssl.SslContext;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.chivecourse.configuration.model.BackendServer;
import org.chivecourse.configuration.rule.Address;
import org.chivecourse.transport.crossing.CrossingCause;
import org.chivecourse.transport.crossing.CrossingMeter;
import org.chivecourse.transport.crossing.CrossingMetrics;
import org.chivecourse.transport.head.HeadLimits;
import reactor.core.publisher.Mono;
import reactor.netty.Connection;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;
import reactor.netty.resources.LoopResources;

/** The connection pools of backend servers, one for each, of limited size. */
public final class BackendConnections {

    /**
     * The maximum time for which an idle connection is kept, which a backend server can shorten by its {@code
     * Keep-Alive} header field.
     */
    private static final long MAXIMUM_IDLE_MILLISECONDS = 30_000;

    /** The maximum time to wait for connections to close. */
    private static final Duration MAXIMUM_CLOSE_WAIT = Duration.ofMillis(200);

    /** The number of hosts that a backend server's connections are divided among. */
    private final int expectedHosts;

    /** The limits on connections. */
    private final HttpSettings settings;

    /** Supplies the TLS context for backend servers, or {@code null} for plain connections. */
    private final Supplier<SslContext> tls;

    /** The event loops that connections run on. */
    private final LoopResources loops;

    /** Counts the bytes that cross between data centres. */
    private final CrossingMetrics crossings;

    /** The limits on the heads of answers. */
    private final HeadLimits answerHeads;

    /** The backend servers in use by their identity. */
    private volatile Map<String, BackendServer> servers = Map.of();

    /** The pools and clients that have been used, by identity of the backend server. */
    private final Map<String, PooledClient> clients = new ConcurrentHashMap<>();

    /**
     * Creates an instance without any pool.
     *
     * @param expectedHosts the number of hosts that a backend server's connections are divided among
     * @param settings the limits on connections
     * @param tls supplies the TLS context for backend servers, or {@code null} for plain connections
     * @param loops the event loops that connections run on
     * @param crossings counts the bytes that cross between data centres
     * @param answerHeads the limits on the heads of answers
     */
    public BackendConnections(
            int expectedHosts,
            HttpSettings settings,
            Supplier<SslContext> tls,
            LoopResources loops,
            CrossingMetrics crossings,
            HeadLimits answerHeads) {
        this.expectedHosts = expectedHosts;
        this.settings = settings;
        this.tls = tls;
        this.loops = loops;
        this.crossings = crossings;
        this.answerHeads = answerHeads;
    }

    /**
     * Replaces the backend servers in use and disposes of the pools of all others. Exchanges in progress on a disposed
     * pool continue to their end.
     *
     * @param used the backend servers to use
     */
    public synchronized void apply(List<BackendServer> used) {
        Map<String, BackendServer> serversByIdentity = new HashMap<>();
        used.forEach(server -> serversByIdentity.put(server.identity(), server));
        clients.entrySet().removeIf(entry -> {
            BackendServer server = serversByIdentity.get(entry.getKey());
            boolean removed = server == null || !server.address().equals(entry.getValue().address);
            if (removed) {
                entry.getValue().provider.disposeLater().subscribe();
            }
            return removed;
        });
        servers = serversByIdentity;
    }

    /**
     * Opens the pool of a backend server. Its size is this host's share of the connections that the backend server
     * allows, at least one.
     *
     * @param server the backend server
     * @return the pool with its client
     */
    private PooledClient openPool(BackendServer server) {
        int share = Math.max(1, server.connections() / expectedHosts);
        ConnectionProvider provider = ConnectionProvider.builder("backend-" + server.identity())
                .maxConnections(share)
                .pendingAcquireMaxCount(share)
                .pendingAcquireTimeout(settings.connectTimeout())
                .evictionPredicate(
                        (connection, metadata) -> !connection.channel().isActive()
                                || !KeepAliveTimeout.reusable(
                                        connection.channel(), metadata.idleTime(), MAXIMUM_IDLE_MILLISECONDS))
                .lifo()
                .build();
        InetSocketAddress address = socketAddress(server.address());
        HttpClient client = HttpClient.create(provider)
                .runOn(loops)
                .remoteAddress(() -> address)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int)
                        settings.connectTimeout().toMillis())
                .option(ChannelOption.TCP_NODELAY, true)
                .responseTimeout(settings.stallTimeout())
                .disableRetry(true)
                .option(ChannelOption.RCVBUF_ALLOCATOR, ConnectionOptions.receiveAllocator())
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, ConnectionOptions.watermark())
                .doOnChannelInit((observer, channel, remote) -> {
                    InboundGuards.addToBackendServer(channel, answerHeads);
                    CrossingMeter.addTo(channel, server.dataCentre(), CrossingCause.CONNECTION, crossings);
                })
                .headers(headers -> headers.remove(HttpHeaderNames.USER_AGENT));
        SslContext context = tls.get();
        return new PooledClient(
                provider, context == null ? client : client.secure(spec -> spec.sslContext(context)), server.address());
    }

    /**
     * Returns the socket address of a host and port. An IP address is converted without a lookup, and a host name stays
     * unresolved.
     *
     * @param address the host name or IP address with the port
     * @return the socket address
     * @throws IllegalArgumentException if the text is not an address
     */
    public static InetSocketAddress socketAddress(String address) {
        return parse(address).socketAddress();
    }

    /**
     * Returns the unresolved socket address of a host and port.
     *
     * @param address the host name or IP address with the port
     * @return the unresolved socket address
     * @throws IllegalArgumentException if the text is not an address
     */
    public static InetSocketAddress unresolvedAddress(String address) {
        return parse(address).unresolvedAddress();
    }

    /**
     * Returns the address that a text states, which the boundary that received the text has checked by the same rule.
     *
     * @param text the text
     * @return the address
     * @throws IllegalArgumentException if the text is not an address
     */
    private static Address parse(String text) {
        return Address.parse(text)
                .orElseThrow(() -> new IllegalArgumentException("\"" + text + "\" is not an address"));
    }

    /**
     * Returns the client of a backend server, whose pool is opened for its first use.
     *
     * @param identity the identity of the backend server
     * @return the client, {@code null} if the backend server is not in use
     */
    HttpClient client(String identity) {
        PooledClient pooled = clients.get(identity);
        return pooled == null ? openClient(identity) : pooled.client;
    }

    /** Opens the pool of a backend server, unless it is not in use, and returns its client. */
    private synchronized HttpClient openClient(String identity) {
        BackendServer server = servers.get(identity);
        return server == null ? null : clients.computeIfAbsent(identity, key -> openPool(server)).client;
    }

    /**
     * Keeps a connection from being used for another request once the current answer has been read. Required after each
     * answer that another request would take for a refusal of its own if the backend server wrote it once more.
     *
     * @param connection the connection
     */
    static void closeAfterAnswer(Connection connection) {
        connection.markPersistent(false);
    }

    /** Closes all pools and waits for their connections to close, for a limited time. */
    public synchronized void close() {
        List<Mono<Void>> closings = new ArrayList<>();
        clients.values().forEach(pooled -> closings.add(pooled.provider.disposeLater()));
        clients.clear();
        Mono.when(closings).timeout(MAXIMUM_CLOSE_WAIT).onErrorComplete().block();
    }

    /**
     * A connection pool and the client that uses it.
     *
     * @param provider the pool
     * @param client the client
     * @param address the address of the backend server
     */
    private record PooledClient(ConnectionProvider provider, HttpClient client, String address) {}
}
