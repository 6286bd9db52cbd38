package org.chivecourse.gateway.daemon;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import org.chivecourse.gateway.settings.GatewaySettings;
import org.chivecourse.protocol.peer.MessageAuthenticator;
import org.chivecourse.protocol.peer.PeerCodec;
import org.chivecourse.transport.connection.ConnectionLimit;
import org.chivecourse.transport.crossing.CrossingMetrics;
import org.chivecourse.transport.driver.CoreDriver;
import org.chivecourse.transport.peer.PeerEndpoint;
import org.chivecourse.transport.peer.PeerMetrics;

/** Creates the endpoint for digests from the settings. */
final class PeerEndpoints {

    /** Prevents instantiation. */
    private PeerEndpoints() {}

    /**
     * Creates the endpoint. Messages are unauthenticated if no shared key is configured.
     *
     * @param settings the settings
     * @param driver the driver of the decision core
     * @param metrics the registry for the endpoint's metrics
     * @param crossings counts the bytes that cross between data centres
     * @param group the event loops that all channels run on
     * @param connections the limit on the connections of other gateways
     * @return the endpoint, not yet started, {@code null} if no peers are configured
     * @throws GatewayException if the shared key cannot be read
     */
    static PeerEndpoint create(
            GatewaySettings settings,
            CoreDriver driver,
            MetricRegistry metrics,
            CrossingMetrics crossings,
            EventLoopGroup group,
            ConnectionLimit connections)
            throws GatewayException {
        if (settings.peers() == null) {
            return null;
        }
        String keyFile = settings.peers().keyFile();
        try {
            MessageAuthenticator authenticator = keyFile.isEmpty()
                    ? MessageAuthenticator.Disabled.INSTANCE
                    : new MessageAuthenticator.HmacSha256(Files.readAllBytes(Path.of(keyFile)));
            InetSocketAddress address =
                    SettingsTranslation.listenAddress(settings.peers().address());
            return new PeerEndpoint(
                    address,
                    new PeerCodec(authenticator),
                    driver,
                    new PeerMetrics(metrics, crossings),
                    group,
                    connections);
        } catch (IOException exception) {
            throw new GatewayException("shared key \"" + keyFile + "\" cannot be read", exception);
        }
    }
}
