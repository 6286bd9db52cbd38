package org.chivecourse.gateway.environment;

import org.chivecourse.coordination.publication.PublicationDecoder;
import org.chivecourse.gateway.log.GatewayLog;
import org.chivecourse.gateway.settings.GatewaySettings;
import org.chivecourse.protocol.http.HeaderDialect;
import org.chivecourse.transport.driver.CoreDriver;
import reactor.netty.resources.LoopResources;

/** What an adapter to a platform supplies to a gateway. */
public interface GatewayEnvironment {

    /**
     * Returns the header fields that callers and backend servers speak.
     *
     * @return the dialect
     */
    HeaderDialect headerDialect();

    /**
     * Returns what decodes published items.
     *
     * @return the decoder
     */
    PublicationDecoder publicationDecoder();

    /**
     * Returns what reads published items.
     *
     * @param settings the settings of the gateway
     * @param driver the driver of the decision core, which is told what was read
     * @param loops the threads that connections run on
     * @return the reader
     */
    PublicationReader createPublicationReader(GatewaySettings settings, CoreDriver driver, LoopResources loops);

    /**
     * Returns what receives log lines.
     *
     * @return the log
     */
    GatewayLog log();

    /** The product's own header fields, configuration service and host list. */
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
