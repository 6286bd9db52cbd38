package org.chivecourse.transport.http;

import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.ssl.SslContext;
import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.chivecourse.configuration.model.BackendServer;
import org.chivecourse.configuration.model.Configuration;
import org.chivecourse.configuration.model.Service;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;

/** The connections to backend servers, bounded for each. */
public final class BackendConnections {

    /** The time for which unused connections are kept, shorter than that of usual backend servers. */
    private static final Duration LONGEST_IDLE = Duration.ofSeconds(30);

    /** The number of hosts among which a backend server's connections are divided. */
    private final int hosts;

    /** The bounds on connections. */
    private final HttpSettings settings;

    /** Returns the TLS context for backend servers, or {@code null} for plain connections. */
    private final Supplier<SslContext> tls;

    /** The clients by address. */
    private final Map<String, Pooled> clients = new ConcurrentHashMap<>();

    /**
     * Creates connections to no backend server.
     *
     * @param hosts the number of hosts among which a backend server's connections are divided
     * @param settings the bounds on connections
     * @param tls returns the TLS context for backend servers, or {@code null} for plain connections
     */
    public BackendConnections(int hosts, HttpSettings settings, Supplier<SslContext> tls) {
        this.hosts = hosts;
        this.settings = settings;
        this.tls = tls;
    }

    /**
     * Opens pools for the backend servers of a configuration and lets go of those of others.
     *
     * @param configuration the configuration in force
     */
    public synchronized void apply(Configuration configuration) {
        Map<String, BackendServer> wanted = new HashMap<>();
        for (Service service : configuration.services()) {
            service.backendServers().forEach(server -> wanted.put(server.address(), server));
        }
        clients.entrySet().removeIf(entry -> {
            boolean gone = !wanted.containsKey(entry.getKey());
            if (gone) {
                entry.getValue().provider.disposeLater().subscribe();
            }
            return gone;
        });
        wanted.forEach((address, server) -> clients.computeIfAbsent(address, key -> open(server)));
    }

    /**
     * Opens a pool for a backend server.
     *
     * @param server the backend server
     * @return the pool
     */
    private Pooled open(BackendServer server) {
        int share = Math.max(1, server.connections() / hosts);
        ConnectionProvider provider = ConnectionProvider.builder("backend-" + server.address())
                .maxConnections(share)
                .pendingAcquireMaxCount(share)
                .pendingAcquireTimeout(settings.connectTimeout())
                .maxIdleTime(LONGEST_IDLE)
                .lifo()
                .build();
        InetSocketAddress address = address(server.address());
        HttpClient client = HttpClient.create(provider)
                .remoteAddress(() -> address)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int)
                        settings.connectTimeout().toMillis())
                .option(ChannelOption.TCP_NODELAY, true)
                .responseTimeout(settings.stallTimeout())
                .disableRetry(true)
                .headers(headers -> headers.remove(HttpHeaderNames.USER_AGENT));
        SslContext context = tls.get();
        return new Pooled(provider, context == null ? client : client.secure(spec -> spec.sslContext(context)));
    }

    /**
     * Resolves an address.
     *
     * @param address the host name or IP number and the port
     * @return the socket address
     */
    public static InetSocketAddress address(String address) {
        URI uri = URI.create("tcp://" + address);
        return InetSocketAddress.createUnresolved(uri.getHost(), uri.getPort());
    }

    /**
     * Returns the client of a backend server.
     *
     * @param address the address
     * @return the client, or {@code null} if the configuration in force does not name the address
     */
    HttpClient client(String address) {
        Pooled pooled = clients.get(address);
        return pooled == null ? null : pooled.client;
    }

    /**
     * Closes all connections.
     */
    public synchronized void close() {
        List<Mono<Void>> ends = new ArrayList<>();
        clients.values().forEach(pooled -> ends.add(pooled.provider.disposeLater()));
        clients.clear();
        Mono.when(ends).block();
    }

    /**
     * A pool and its client.
     *
     * @param provider the pool
     * @param client the client
     */
    private record Pooled(ConnectionProvider provider, HttpClient client) {}
}
