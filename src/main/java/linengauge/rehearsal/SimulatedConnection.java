package linengauge.rehearsal;

import java.io.ByteArrayOutputStream;
import java.util.ArrayDeque;
import java.util.function.Consumer;
import linengauge.Span;
import linengauge.platform.Net;

/**
 * A connection in virtual time. What is written arrives whole, in order, after the latency of the
 * way.
 */
final class SimulatedConnection {
  /** What the tap hears as the near end closes it. */
  static final byte[] CLOSE_MARKER = {};

  /** Bytes that one reading brings at the most. */
  private static final int MAX_READ_BYTES = 64 * 1024;

  private final VirtualClock clock;
  private final Span latency;
  private final Endpoint clientEnd;
  private final Endpoint serverEnd;

  /**
   * Nothing arrives, and nobody is told: the way is cut. What was sent meanwhile arrives once it is
   * mended, as it does over TCP.
   */
  private boolean stalled;

  private final ArrayDeque<Runnable> inTransit = new ArrayDeque<>();

  /** Broken from outside: nothing arrives any more. */
  private boolean wasReset;

  /** Hears what the near end writes, as it is written. */
  private Consumer<byte[]> writeObserver = data -> {};

  SimulatedConnection(
      VirtualClock clock, Span latency, SimulatedProcess near, SimulatedProcess far, String name) {
    this.clock = clock;
    this.latency = latency;
    this.clientEnd = new Endpoint(near, name);
    this.serverEnd = new Endpoint(far, name);
  }

  /** The end of whoever tried the connection. */
  Endpoint clientEnd() {
    return clientEnd;
  }

  Endpoint serverEnd() {
    return serverEnd;
  }

  void observeWrites(Consumer<byte[]> hears) {
    writeObserver = hears;
  }

  void setStalled(boolean cut) {
    stalled = cut;
    while (!stalled && !inTransit.isEmpty()) {
      inTransit.poll().run();
    }
  }

  /** Brings something to an end of it, after the latency of the way. */
  private void transmit(SimulatedProcess from, Runnable deed) {
    clock.scheduleAt(
        from.now().plus(latency),
        () -> {
          if (wasReset) {
            return;
          }
          if (stalled) {
            inTransit.add(deed);
          } else {
            deed.run();
          }
        });
  }

  /** Closed from outside: both ends hear it, and what is under way is lost. */
  void reset() {
    wasReset = true;
    clientEnd.notifyClosed();
    serverEnd.notifyClosed();
  }

  /** The process at that end has died; the other hears it after the latency. */
  void processDied(Endpoint end) {
    Endpoint other = end == clientEnd ? serverEnd : clientEnd;
    transmit(end.process, other::notifyClosed);
  }

  final class Endpoint implements Net.Connection {
    private final SimulatedProcess process;
    private final String name;

    /** What came before anybody listened, or while it did not read. */
    private final ArrayDeque<byte[]> unread = new ArrayDeque<>();

    private Consumer<byte[]> dataHandler;
    private Runnable closeHandler;
    private boolean paused;
    private boolean closed;
    private boolean closeNotified;

    private Endpoint(SimulatedProcess host, String name) {
      this.process = host;
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
    public void hears(Consumer<byte[]> d, Runnable c) {
      dataHandler = d;
      closeHandler = c;
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

    /** What is held, as one piece: a connection keeps no borders between what was written. */
    private byte[] takeUnread() {
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      while (!unread.isEmpty()
          && (all.size() == 0 || all.size() + unread.peek().length <= MAX_READ_BYTES)) {
        all.writeBytes(unread.poll());
      }
      return all.toByteArray();
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
    public String peer() {
      return name;
    }
  }
}
