import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads and writes HTTP/1.1 messages on plain sockets. */
final class Http {

    /** The first line and the fields of a message, with names in lower case. */
    record Head(String firstLine, Map<String, String> fields) {

        String method() {
            return firstLine.split(" ")[0];
        }

        String target() {
            return firstLine.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        String field(String name) {
            return fields.get(name.toLowerCase(Locale.ROOT));
        }
    }

    private Http() {}

    /** Reads a head, {@code null} if the connection ends before it. */
    static Head readHead(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int matched = 0;
        while (matched < 4) {
            int octet = in.read();
            if (octet < 0) {
                if (bytes.size() == 0) {
                    return null;
                }
                throw new IOException("the connection ended within a head");
            }
            bytes.write(octet);
            matched = octet == "\r\n\r\n".charAt(matched) ? matched + 1 : octet == '\r' ? 1 : 0;
        }
        String[] lines = bytes.toString(StandardCharsets.ISO_8859_1).split("\r\n");
        Map<String, String> fields = new TreeMap<>();
        for (int index = 1; index < lines.length; index++) {
            int colon = lines[index].indexOf(':');
            if (colon > 0) {
                fields.put(
                        lines[index].substring(0, colon).toLowerCase(Locale.ROOT),
                        lines[index].substring(colon + 1).trim());
            }
        }
        return new Head(lines[0], fields);
    }

    /** Reads the body of a message that states its length, has chunks, or (answers only) ends with its connection. */
    static byte[] readBody(InputStream in, Head head, boolean answer) throws IOException {
        if ("chunked".equalsIgnoreCase(head.field("Transfer-Encoding"))) {
            return readChunks(in);
        }
        String length = head.field("Content-Length");
        if (length != null) {
            byte[] body = in.readNBytes(Integer.parseInt(length));
            if (body.length < Integer.parseInt(length)) {
                throw new IOException("the connection ended within a body");
            }
            return body;
        }
        return answer ? in.readAllBytes() : new byte[0];
    }

    private static byte[] readChunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            int size = Integer.parseInt(readLine(in).split(";")[0].trim(), 16);
            if (size == 0) {
                while (!readLine(in).isEmpty()) {
                    // Trailers are ignored.
                }
                return body.toByteArray();
            }
            byte[] chunk = in.readNBytes(size);
            if (chunk.length < size) {
                throw new IOException("the connection ended within a chunk");
            }
            body.write(chunk);
            readLine(in);
        }
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        while (true) {
            int octet = in.read();
            if (octet < 0) {
                throw new IOException("the connection ended within a line");
            }
            if (octet == '\n') {
                return line.toString().trim();
            }
            line.append((char) octet);
        }
    }

    static void write(Socket socket, String head, byte[] body) throws IOException {
        byte[] start = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] message = new byte[start.length + body.length];
        System.arraycopy(start, 0, message, 0, start.length);
        System.arraycopy(body, 0, message, start.length, body.length);
        socket.getOutputStream().write(message);
        socket.getOutputStream().flush();
    }
}
