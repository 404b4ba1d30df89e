package linengauge.platform;

import java.io.ByteArrayOutputStream;

/**
 * Writes to one client. Within a batch, messages are collected and leave in few large writes: each
 * write occupies some hundred bytes of heap beside its message until the client has received it.
 */
final class ClientOutput {
  private static final int MAX_COLLECTED_BYTES = 8 * 1024;

  private final Net.Connection socket;

  /** Messages of the current batch; null if there are none. */
  private ByteArrayOutputStream collected;

  private boolean inBatch;

  ClientOutput(Net.Connection socket) {
    this.socket = socket;
  }

  /** Collects messages until {@link #endBatch}. */
  void beginBatch() {
    inBatch = true;
  }

  /** Writes what the batch has collected. */
  void endBatch() {
    inBatch = false;
    flush();
  }

  private void flush() {
    if (collected != null) {
      socket.write(collected.toByteArray());
      collected = null;
    }
  }

  /** Writes the message; false if the client does not read, and nothing more may be written. */
  boolean write(byte[] message) {
    if (socket.isFull()) {
      return false;
    }
    if (!inBatch) {
      socket.write(message);
      return true;
    }
    if (collected == null) {
      collected = new ByteArrayOutputStream();
    }
    collected.writeBytes(message);
    if (collected.size() >= MAX_COLLECTED_BYTES) {
      flush();
    }
    return true;
  }

  /** Closes the connection behind what has been written. */
  void close() {
    flush();
    socket.close();
  }

  /** Closes the connection at once; what the client has not received is lost. */
  void abort() {
    collected = null;
    socket.abort();
  }
}
