package org.chivecourse.gateway.tls;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.sameInstance;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.util.InsecureTrustManagerFactory;
import io.netty.pkitesting.CertificateBuilder;
import io.netty.pkitesting.X509Bundle;
import java.io.File;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.cert.X509Certificate;
import java.time.Duration;
import java.util.List;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLSocket;
import org.chivecourse.gateway.GatewayFixture;
import org.chivecourse.gateway.RawServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.Http11SslContextSpec;
import reactor.netty.http.Http2SslContextSpec;
import reactor.netty.http.HttpProtocol;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.server.HttpServer;
import reactor.netty.tcp.SslProvider.GenericSslContextSpec;

/** Guards against a renewed certificate that is not used, and against invalid files that replace a working context. */
class ReloadingTlsTest {

    private static final String COMPLETE_RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";

    @TempDir
    private Path folder;

    private Path certificate() {
        return folder.resolve("certificate.pem");
    }

    private Path key() {
        return folder.resolve("key.pem");
    }

    private void writeCertificate(String name, long modified) throws Exception {
        X509Bundle bundle = new CertificateBuilder()
                .subject("CN=" + name)
                .addSanDnsName("localhost")
                .setIsCertificateAuthority(true)
                .buildSelfSigned();
        Files.writeString(certificate(), bundle.getCertificatePathPEM());
        Files.writeString(key(), bundle.getPrivateKeyPEM());
        assertThat(new File(certificate().toString()).setLastModified(modified), equalTo(true));
        assertThat(new File(key().toString()).setLastModified(modified), equalTo(true));
    }

    private String callerSettings() {
        return "callers: {address: \"127.0.0.1:0\", certificate: " + certificate() + ", key: " + key() + "}";
    }

    private static String presentedSubject(int port) throws Exception {
        SSLContext context = SSLContext.getInstance("TLS");
        context.init(null, InsecureTrustManagerFactory.INSTANCE.getTrustManagers(), null);
        try (SSLSocket socket = (SSLSocket) context.getSocketFactory().createSocket("127.0.0.1", port)) {
            socket.startHandshake();
            X509Certificate presented = (X509Certificate) socket.getSession().getPeerCertificates()[0];
            return presented.getSubjectX500Principal().getName();
        }
    }

    @Test
    void servesCallersOverTlsWithHttp1AndHttp2() throws Exception {
        writeCertificate("first", 1_000);
        try (RawServer server = RawServer.answering(COMPLETE_RESPONSE);
                GatewayFixture fixture = GatewayFixture.withCallers(callerSettings(), List.of(server.address()))) {
            for (HttpProtocol protocol : List.of(HttpProtocol.HTTP11, HttpProtocol.H2)) {
                GenericSslContextSpec<?> clientSpec = protocol == HttpProtocol.H2
                        ? Http2SslContextSpec.forClient().configure(ReloadingTlsTest::trustAll)
                        : Http11SslContextSpec.forClient().configure(ReloadingTlsTest::trustAll);
                String answer = HttpClient.create()
                        .protocol(protocol)
                        .secure(spec -> spec.sslContext(clientSpec))
                        .get()
                        .uri("https://localhost:" + fixture.port() + "/jobs/lookups/1")
                        .responseSingle((response, body) -> body.asString())
                        .block(Duration.ofSeconds(20));
                assertThat(answer, equalTo("whole"));
            }
        }
    }

    @Test
    void presentsChangedCertificateToNewConnections() throws Exception {
        writeCertificate("first", 1_000);
        try (RawServer server = RawServer.answering(COMPLETE_RESPONSE);
                GatewayFixture fixture = GatewayFixture.withCallers(callerSettings(), List.of(server.address()))) {
            assertThat(presentedSubject(fixture.port()), equalTo("CN=first"));
            writeCertificate("second", 2_000);
            GatewayFixture.await(() -> presentsSubject(fixture.port(), "CN=second"));
        }
    }

    private static void trustAll(SslContextBuilder builder) {
        builder.trustManager(InsecureTrustManagerFactory.INSTANCE);
    }

    private static boolean presentsSubject(int port, String expected) {
        try {
            return presentedSubject(port).equals(expected);
        } catch (Exception exception) {
            throw new AssertionError(exception);
        }
    }

    @Test
    void keepsPreviousContextWhenFileIsInvalid() throws Exception {
        writeCertificate("first", 1_000);
        ReloadingTls tls = ReloadingTls.server(certificate().toString(), key().toString());
        DelegatingSslContext context = (DelegatingSslContext) tls.context();
        SslContext initialContext = context.delegate();
        Files.writeString(certificate(), "half written");
        tls.reload();
        tls.reload();
        assertThat(context.delegate(), sameInstance(initialContext));
    }

    @Test
    void reportsInvalidFiles() throws Exception {
        Files.writeString(certificate(), "no certificate");
        Files.writeString(key(), "no key");
        TlsException thrown = assertThrows(
                TlsException.class, () -> ReloadingTls.server(certificate().toString(), key().toString()));
        assertThat(thrown.getMessage(), containsString(certificate().toString()));
    }

    @Test
    void connectsToBackendServersOverTls() throws Exception {
        writeCertificate("backend", 1_000);
        GenericSslContextSpec<?> serverSpec =
                Http11SslContextSpec.forServer(certificate().toFile(), key().toFile());
        DisposableServer backend = HttpServer.create()
                .host("localhost")
                .port(0)
                .secure(spec -> spec.sslContext(serverSpec))
                .handle((request, response) -> response.sendString(Mono.just("secret")))
                .bindNow();
        try (GatewayFixture fixture =
                GatewayFixture.of(List.of("localhost:" + backend.port()), "backend-trust: " + certificate())) {
            String answer = HttpClient.create()
                    .get()
                    .uri("http://127.0.0.1:" + fixture.port() + "/jobs/lookups/1")
                    .responseSingle((response, body) -> body.asString())
                    .block(Duration.ofSeconds(20));
            assertThat(answer, equalTo("secret"));
        } finally {
            backend.disposeNow();
        }
    }
}
