package org.chivecourse.transport.memory;

/**
 * The documents that are being written to connections. If their recipients do not read them and they would take too
 * much memory together, those that have been written for longest are ended. Safe for use by several threads.
 */
public final class HeldDocuments {

    /** The largest number of bytes of all documents, unless there is only one. */
    private final long maximumBytes;

    /** The bytes of all documents. */
    private final ByteReservation reservation = new ByteReservation();

    /** The documents, the oldest first. */
    private final OldestFirst<Document> documents = new OldestFirst<>();

    /**
     * Creates an instance without documents.
     *
     * @param maximumBytes the largest number of bytes of all documents
     */
    public HeldDocuments(long maximumBytes) {
        this.maximumBytes = maximumBytes;
    }

    /**
     * Holds a document until it is released, and ends older ones if there is no room for it.
     *
     * @param bytes the size of the document
     * @param end ends the writing of the document
     * @return the document
     */
    public Document hold(long bytes, Runnable end) {
        while (!reservation.reserve(bytes, maximumBytes)) {
            Document oldest = documents.takeOldest().orElse(null);
            if (oldest == null) {
                reservation.reserve(bytes, Long.MAX_VALUE);
                break;
            }
            reservation.release(oldest.bytes);
            oldest.end.run();
        }
        Document document = new Document(bytes, end);
        documents.add(document);
        return document;
    }

    /** Returns the bytes of all documents. */
    public long heldBytes() {
        return reservation.reservedBytes();
    }

    /** A document that is being written. */
    public final class Document {

        /** The size of the document. */
        private final long bytes;

        /** Ends the writing of the document. */
        private final Runnable end;

        /** Creates a document. */
        private Document(long bytes, Runnable end) {
            this.bytes = bytes;
            this.end = end;
        }

        /** Records that the document has been written, or never will be. */
        public void release() {
            if (documents.remove(this)) {
                reservation.release(bytes);
            }
        }
    }
}
