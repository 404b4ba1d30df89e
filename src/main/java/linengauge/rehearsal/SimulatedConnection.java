package linengauge.rehearsal;

import java.io.ByteArrayOutputStream;
import java.util.ArrayDeque;
import java.util.function.Consumer;
import linengauge.Span;
import linengauge.platform.Net;

/**
 * A connection in virtual time. Each message arrives whole and in order after the latency of the
 * network.
 */
final class SimulatedConnection {
  /** Passed to the observer of writes when the client end closes the connection. */
  static final byte[] CLOSE_MARKER = {};

  /** The most bytes that one read returns. */
  private static final int MAX_READ_BYTES = 64 * 1024;

  private final VirtualClock clock;
  private final Span latency;
  private final Endpoint clientEnd;
  private final Endpoint serverEnd;

  /**
   * Whether a partition holds the traffic back. Neither end is notified, and what was sent
   * meanwhile arrives after the partition, as over TCP.
   */
  private boolean stalled;

  private final ArrayDeque<Runnable> inTransit = new ArrayDeque<>();

  /** Whether the network has reset the connection: nothing arrives any more. */
  private boolean wasReset;

  /** Receives what the client end writes, as it is written. */
  private Consumer<byte[]> writeObserver = data -> {};

  SimulatedConnection(
      VirtualClock clock,
      Span latency,
      SimulatedProcess client,
      SimulatedProcess server,
      String name) {
    this.clock = clock;
    this.latency = latency;
    this.clientEnd = new Endpoint(client, name);
    this.serverEnd = new Endpoint(server, name);
  }

  /** The end of the process that opened the connection. */
  Endpoint clientEnd() {
    return clientEnd;
  }

  Endpoint serverEnd() {
    return serverEnd;
  }

  void observeWrites(Consumer<byte[]> observer) {
    writeObserver = observer;
  }

  void setStalled(boolean stall) {
    stalled = stall;
    while (!stalled && !inTransit.isEmpty()) {
      inTransit.poll().run();
    }
  }

  /** Runs a delivery at the other end after the latency of the network. */
  private void transmit(SimulatedProcess sender, Runnable delivery) {
    clock.scheduleAt(
        sender.now().plus(latency),
        () -> {
          if (wasReset) {
            return;
          }
          if (stalled) {
            inTransit.add(delivery);
          } else {
            delivery.run();
          }
        });
  }

  /** Resets the connection: both ends are notified, and what is in transit is lost. */
  void reset() {
    wasReset = true;
    clientEnd.notifyClosed();
    serverEnd.notifyClosed();
  }

  /** Notifies the other end, after the latency, that the process at this end has died. */
  void processDied(Endpoint end) {
    Endpoint other = end == clientEnd ? serverEnd : clientEnd;
    transmit(end.process, other::notifyClosed);
  }

  /** One end of the connection; closing either end notifies the other after the latency. */
  final class Endpoint implements Net.Connection {
    private final SimulatedProcess process;
    private final String name;

    /** What arrived before a handler was set, or while reading was paused. */
    private final ArrayDeque<byte[]> unread = new ArrayDeque<>();

    private Consumer<byte[]> dataHandler;
    private Runnable closeHandler;
    private boolean paused;
    private boolean closed;
    private boolean closeNotified;

    private Endpoint(SimulatedProcess process, String name) {
      this.process = process;
      this.name = name;
    }

    SimulatedConnection connection() {
      return SimulatedConnection.this;
    }

    boolean isOpen() {
      return !closed;
    }

    private Endpoint opposite() {
      return this == clientEnd ? serverEnd : clientEnd;
    }

    @Override
    public void setHandlers(Consumer<byte[]> onData, Runnable onClose) {
      dataHandler = onData;
      closeHandler = onClose;
      deliverUnread();
    }

    private void deliverUnread() {
      if (dataHandler == null || paused || closed || unread.isEmpty()) {
        return;
      }
      dataHandler.accept(takeUnread());
      if (!unread.isEmpty()) {
        process.deliver(this::deliverUnread);
      }
    }

    /**
     * Takes unread messages as one piece, up to the limit of a read: a byte stream does not
     * preserve message boundaries.
     */
    private byte[] takeUnread() {
      ByteArrayOutputStream bytes = new ByteArrayOutputStream();
      while (!unread.isEmpty()
          && (bytes.size() == 0 || bytes.size() + unread.peek().length <= MAX_READ_BYTES)) {
        bytes.writeBytes(unread.poll());
      }
      return bytes.toByteArray();
    }

    @Override
    public void write(byte[] message) {
      if (closed) {
        return;
      }
      byte[] copy = message.clone();
      if (this == clientEnd) {
        writeObserver.accept(copy);
      }
      transmit(
          process,
          () ->
              opposite()
                  .process
                  .deliver(
                      () -> {
                        if (!opposite().closed) {
                          opposite().unread.add(copy);
                          opposite().deliverUnread();
                        }
                      }));
    }

    @Override
    public boolean isFull() {
      return false;
    }

    @Override
    public void pause() {
      paused = true;
    }

    @Override
    public void resume() {
      paused = false;
      process.deliver(this::deliverUnread);
    }

    @Override
    public void close() {
      if (closed) {
        return;
      }
      closed = true;
      if (this == clientEnd) {
        writeObserver.accept(CLOSE_MARKER);
      }
      transmit(process, opposite()::notifyClosed);
      notifyClosed();
    }

    private void notifyClosed() {
      if (!closeNotified) {
        closeNotified = true;
        clock.scheduleAt(
            process.now(),
            () ->
                process.deliver(
                    () -> {
                      closed = true;
                      if (closeHandler != null) {
                        closeHandler.run();
                      }
                    }));
      }
    }

    @Override
    public void abort() {
      close();
    }

    @Override
    public String peer() {
      return name;
    }
  }
}
