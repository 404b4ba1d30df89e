package linengauge.standin;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * The journal service of the platform (docs/protocol/platform.md) on loopback; for tests and trial
 * runs.
 */
public final class PlatformJournal implements AutoCloseable {
  private static final int LENGTH_BYTES = 4;
  private static final int HEADER_BYTES = 9;
  private static final int RECORD_BYTES = 27;
  private static final int KIND_HEARTBEAT = 0;
  private static final int KIND_FULL = 1;
  private static final int KIND_CHANGES = 2;

  private final ServerSocket listener;
  private final List<byte[]> events = new ArrayList<>();
  private final List<Socket> readers = new CopyOnWriteArrayList<>();

  /** The event numbers that readers requested to start after. */
  public final List<Long> requestedPositions = new CopyOnWriteArrayList<>();

  /** Starts a journal whose numbers continue from the last event known elsewhere. */
  public PlatformJournal(long lastNumber) throws IOException {
    this(lastNumber, 0);
  }

  /** Starts the journal at a given port, as one that is restarted there. */
  public PlatformJournal(long lastNumber, int port) throws IOException {
    listener = new ServerSocket(port, 16, InetAddress.getLoopbackAddress());
    for (long i = 0; i < lastNumber; i++) {
      events.add(new byte[0]);
    }
    Thread thread = new Thread(this::accept, "platform-journal");
    thread.setDaemon(true);
    thread.start();
  }

  public int port() {
    return listener.getLocalPort();
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = listener.accept();
        long last = new DataInputStream(socket.getInputStream()).readLong();
        synchronized (this) {
          requestedPositions.add(last);
          readers.add(socket);
          for (long number = last; number < events.size(); number++) {
            socket.getOutputStream().write(events.get((int) number));
          }
        }
      }
    } catch (IOException e) {
      // The journal has been closed.
    }
  }

  /** Returns an entry of the list; state: 0 ready, 1 draining, 2 gone. */
  public static byte[] record(int id, int port, int state, int cell, long startedMs) {
    return ByteBuffer.allocate(RECORD_BYTES)
        .putInt(id)
        .put(new byte[] {127, 0, 0, 1})
        .putShort((short) port)
        .put((byte) state)
        .put((byte) 0)
        .put((byte) 0)
        .putShort((short) cell)
        .putInt(2000)
        .putLong(startedMs)
        .array();
  }

  /** Returns a frame that carries changes of the list. */
  public static byte[] changes(long number, byte[]... records) {
    return frame(number, KIND_CHANGES, records);
  }

  /** Returns a frame that carries the whole list. */
  public static byte[] fullList(long number, byte[]... records) {
    return frame(number, KIND_FULL, records);
  }

  /** Returns the frame that says that nothing is newer than that event. */
  public static byte[] heartbeat(long number) {
    return frame(number, KIND_HEARTBEAT);
  }

  private static byte[] frame(long number, int kind, byte[]... records) {
    int length = HEADER_BYTES + RECORD_BYTES * records.length;
    ByteBuffer frame =
        ByteBuffer.allocate(LENGTH_BYTES + length).putInt(length).putLong(number).put((byte) kind);
    for (byte[] record : records) {
      frame.put(record);
    }
    return frame.array();
  }

  /** Publishes changes of the list as the next event. */
  public synchronized void publish(byte[]... records) {
    byte[] frame = frame(events.size() + 1, KIND_CHANGES, records);
    events.add(frame);
    send(frame);
  }

  /** Sends a heartbeat, which has the number of the last event. */
  public synchronized void sendHeartbeat() {
    send(heartbeat(events.size()));
  }

  /** Breaks the connections within an event; a reader that reconnects gets the whole event. */
  public synchronized void breakDuringEvent(byte[] record) throws IOException {
    byte[] frame = frame(events.size() + 1, KIND_CHANGES, record);
    events.add(frame);
    for (Socket socket : readers) {
      socket.getOutputStream().write(frame, 0, 20);
      socket.close();
    }
    readers.clear();
  }

  public synchronized void send(byte[] bytes) {
    for (Socket socket : readers) {
      try {
        socket.getOutputStream().write(bytes);
      } catch (IOException e) {
        readers.remove(socket);
      }
    }
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket socket : readers) {
      socket.close();
    }
  }
}
