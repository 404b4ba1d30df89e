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
final class Pipe {
  /** What the tap hears as the near end closes it. */
  static final byte[] CLOSED = {};

  /** Bytes that one reading brings at the most. */
  private static final int MOST_AT_ONCE = 64 * 1024;

  private final Clockwork clock;
  private final Span latency;
  private final End near;
  private final End far;

  /**
   * Nothing arrives, and nobody is told: the way is cut. What was sent meanwhile arrives once it is
   * mended, as it does over TCP.
   */
  private boolean silent;

  private final ArrayDeque<Runnable> underWay = new ArrayDeque<>();

  /** Broken from outside: nothing arrives any more. */
  private boolean broken;

  /** Hears what the near end writes, as it is written. */
  private Consumer<byte[]> tap = data -> {};

  Pipe(Clockwork clock, Span latency, Host near, Host far, String name) {
    this.clock = clock;
    this.latency = latency;
    this.near = new End(near, name);
    this.far = new End(far, name);
  }

  /** The end of whoever tried the connection. */
  End near() {
    return near;
  }

  End far() {
    return far;
  }

  void tap(Consumer<byte[]> hears) {
    tap = hears;
  }

  void silence(boolean cut) {
    silent = cut;
    while (!silent && !underWay.isEmpty()) {
      underWay.poll().run();
    }
  }

  /** Brings something to an end of it, after the latency of the way. */
  private void carry(Host from, Runnable deed) {
    clock.at(
        from.now().plus(latency),
        () -> {
          if (broken) {
            return;
          }
          if (silent) {
            underWay.add(deed);
          } else {
            deed.run();
          }
        });
  }

  /** Closed from outside: both ends hear it, and what is under way is lost. */
  void reset() {
    broken = true;
    near.tellClosed();
    far.tellClosed();
  }

  /** The process at that end has died; the other hears it after the latency. */
  void died(End end) {
    End other = end == near ? far : near;
    carry(end.host, other::tellClosed);
  }

  final class End implements Net.Connection {
    private final Host host;
    private final String name;

    /** What came before anybody listened, or while it did not read. */
    private final ArrayDeque<byte[]> held = new ArrayDeque<>();

    private Consumer<byte[]> data;
    private Runnable closed;
    private boolean paused;
    private boolean over;
    private boolean told;

    private End(Host host, String name) {
      this.host = host;
      this.name = name;
    }

    Pipe pipe() {
      return Pipe.this;
    }

    boolean isOpen() {
      return !over;
    }

    private End other() {
      return this == near ? far : near;
    }

    @Override
    public void setHandlers(Consumer<byte[]> d, Runnable c) {
      data = d;
      closed = c;
      flow();
    }

    private void flow() {
      if (data == null || paused || over || held.isEmpty()) {
        return;
      }
      data.accept(stream());
      if (!held.isEmpty()) {
        host.event(this::flow);
      }
    }

    /** What is held, as one piece: a connection keeps no borders between what was written. */
    private byte[] stream() {
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      while (!held.isEmpty()
          && (all.size() == 0 || all.size() + held.peek().length <= MOST_AT_ONCE)) {
        all.writeBytes(held.poll());
      }
      return all.toByteArray();
    }

    @Override
    public void write(byte[] message) {
      if (over) {
        return;
      }
      byte[] copy = message.clone();
      if (this == near) {
        tap.accept(copy);
      }
      carry(
          host,
          () ->
              other()
                  .host
                  .event(
                      () -> {
                        if (!other().over) {
                          other().held.add(copy);
                          other().flow();
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
      host.event(this::flow);
    }

    @Override
    public void close() {
      if (over) {
        return;
      }
      over = true;
      if (this == near) {
        tap.accept(CLOSED);
      }
      carry(host, other()::tellClosed);
      tellClosed();
    }

    private void tellClosed() {
      if (!told) {
        told = true;
        clock.at(
            host.now(),
            () ->
                host.event(
                    () -> {
                      over = true;
                      if (closed != null) {
                        closed.run();
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
