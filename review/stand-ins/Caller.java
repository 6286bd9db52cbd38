import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Sends requests as the platform's clients do and records the answers. */
final class Caller {

    /** What came back: a status, or zero if the connection ended or nothing came in time. */
    record Answer(int status, String body, String signature, String failure) {}

    private final Fleet fleet;

    private final Record record;

    Caller(Fleet fleet, Record record) {
        this.fleet = fleet;
        this.record = record;
    }

    /** Sends a request on a new connection and waits a second longer than it grants. */
    Answer send(int gateway, String method, String host, String path, String request, int deadlineMilliseconds, byte[] body) {
        record.note("sent " + request + " to gateway " + gateway + " " + method + " " + host + path);
        Answer answer;
        try (Socket socket = fleet.openCaller(gateway)) {
            socket.setSoTimeout(deadlineMilliseconds + 1000);
            String head = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Chivecourse-Request-Id: " + request
                    + "\r\nX-Chivecourse-Deadline-Ms: " + deadlineMilliseconds
                    + (method.equals("POST") ? "\r\nContent-Length: " + body.length : "") + "\r\n\r\n";
            Http.write(socket, head, body == null ? new byte[0] : body);
            answer = read(new BufferedInputStream(socket.getInputStream()));
        } catch (IOException | RuntimeException exception) {
            answer = new Answer(0, "", null, exception.toString());
        }
        record.note("answered " + request + " " + answer.status() + " "
                + (answer.status() == 0 ? answer.failure() : answer.body().replace('\n', ' ')));
        return answer;
    }

    static Answer read(InputStream in) throws IOException {
        Http.Head head = Http.readHead(in);
        if (head == null) {
            return new Answer(0, "", null, "the connection ended without an answer");
        }
        byte[] body = Http.readBody(in, head, true);
        return new Answer(
                head.status(),
                new String(body, StandardCharsets.UTF_8),
                head.field("X-Chivecourse-Response-Signature"),
                null);
    }
}
