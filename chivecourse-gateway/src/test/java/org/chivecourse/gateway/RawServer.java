package org.chivecourse.gateway;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A backend server that answers each request with given bytes, also malformed ones, and closes the connection. */
public final class RawServer implements AutoCloseable {

    /** Handles a connection once the header of its request has been read. */
    public interface Behaviour {
        void serve(Socket socket) throws IOException;
    }

    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

    private final List<String> requests = new CopyOnWriteArrayList<>();

    private final Behaviour behaviour;

    public RawServer(Behaviour behaviour) throws IOException {
        this.behaviour = behaviour;
        Thread thread = new Thread(this::accept, "raw-server");
        thread.setDaemon(true);
        thread.start();
    }

    public static RawServer answering(String answer) throws IOException {
        return new RawServer(socket -> {
            socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().flush();
        });
    }

    private void accept() {
        while (!server.isClosed()) {
            try (Socket socket = server.accept()) {
                requests.add(readHead(socket));
                behaviour.serve(socket);
            } catch (IOException exception) {
                if (!server.isClosed()) {
                    requests.add("failed: " + exception);
                }
            }
        }
    }

    private static String readHead(Socket socket) throws IOException {
        StringBuilder text = new StringBuilder();
        while (text.indexOf("\r\n\r\n") < 0) {
            int octet = socket.getInputStream().read();
            if (octet < 0) {
                return text.toString();
            }
            text.append((char) octet);
        }
        return text.toString();
    }

    public String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    public List<String> requests() {
        return requests;
    }

    @Override
    public void close() {
        try {
            server.close();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }
}
