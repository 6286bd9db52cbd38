package org.chivecourse.gateway.environment;

import org.chivecourse.coordination.publication.PublicationDecoder;
import org.chivecourse.gateway.log.GatewayLog;
import org.chivecourse.gateway.settings.GatewaySettings;
import org.chivecourse.protocol.http.HeaderDialect;
import org.chivecourse.transport.driver.CoreDriver;
import reactor.netty.resources.LoopResources;

/** The parts of a gateway that depend on the platform and are supplied by its adapter. */
public interface GatewayEnvironment {

    /** Returns the header fields that callers and backend servers use. */
    HeaderDialect headerDialect();

    /** Returns the decoder of published items. */
    PublicationDecoder publicationDecoder();

    /**
     * Creates the reader of published items.
     *
     * @param settings the settings of the gateway
     * @param driver receives the items that were read
     * @param loops the event loops that connections run on
     * @return the reader, which is idle until the decision core requests a read
     */
    PublicationReader createPublicationReader(GatewaySettings settings, CoreDriver driver, LoopResources loops);

    /** Returns the log of requests and changes. */
    GatewayLog log();

    /** The environment without an adapter: the product's own header fields, and no published items. */
    enum Default implements GatewayEnvironment {
        /** The only instance. */
        INSTANCE;

        @Override
        public HeaderDialect headerDialect() {
            return HeaderDialect.Default.INSTANCE;
        }

        @Override
        public PublicationDecoder publicationDecoder() {
            return PublicationDecoder.Disabled.INSTANCE;
        }

        @Override
        public PublicationReader createPublicationReader(
                GatewaySettings settings, CoreDriver driver, LoopResources loops) {
            return PublicationReader.Disabled.INSTANCE;
        }

        @Override
        public GatewayLog log() {
            return GatewayLog.ForLogger.INSTANCE;
        }
    }
}
