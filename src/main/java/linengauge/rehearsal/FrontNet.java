package linengauge.rehearsal;

import java.util.ArrayDeque;
import linengauge.Moment;
import linengauge.Span;
import linengauge.platform.Net;
import linengauge.session.Carrier.Wake;

/**
 * What carries one life of a front in virtual time. Its clock moves on by the processor time it
 * uses: each look at the time stands for one message or step, and costs more while the process is
 * young. Events wait while it is at work.
 */
final class FrontNet implements Net {
  /** What a step costs at the start of a process, and once it has run so many. */
  record Pace(Span first, Span warm, int until) {
    Span cost(int steps) {
      double young = Math.max(0, 1 - (double) steps / until);
      return warm.plus(first.minus(warm).times(young));
    }
  }

  private final String name;
  private final Clockwork clock;
  private final Roads roads;
  private final Pace pace;
  private final Ledger ledger;
  private final ArrayDeque<Runnable> inbox = new ArrayDeque<>();

  /** Where it is in time while it is at work, and how long it was. */
  private Moment local;

  private boolean atWork;
  private boolean due;
  private boolean dead;
  private int steps;
  private Span longest = Span.NONE;
  private final Host host =
      new Host() {
        @Override
        public void event(Runnable deed) {
          if (!dead) {
            inbox.add(deed);
            wake();
          }
        }

        @Override
        public Moment now() {
          return atWork ? local : local.orLater(clock.now());
        }
      };

  FrontNet(String name, Clockwork clock, Roads roads, Pace pace, Ledger ledger) {
    this.name = name;
    this.clock = clock;
    this.roads = roads;
    this.pace = pace;
    this.ledger = ledger;
    this.local = clock.now();
  }

  void die() {
    dead = true;
    inbox.clear();
  }

  boolean isDead() {
    return dead;
  }

  /** The longest turn so far. */
  Span longest() {
    return longest;
  }

  private void wake() {
    if (!due && !inbox.isEmpty()) {
      due = true;
      clock.at(local, this::work);
    }
  }

  private void work() {
    due = false;
    Runnable deed = inbox.poll();
    if (dead || deed == null) {
      return;
    }
    Moment begun = local.orLater(clock.now());
    local = begun;
    atWork = true;
    deed.run();
    atWork = false;
    longest = longest.orMore(local.since(begun));
    wake();
  }

  @Override
  public Moment now() {
    if (atWork) {
      local = local.plus(pace.cost(steps++));
    }
    return host.now();
  }

  @Override
  public void connect(String address, int mostUnread, ConnectHandler then) {
    ledger.connected(address);
    roads.connect(name, host, address, then);
  }

  @Override
  public void listen(String address, int mostUnread, AcceptHandler listener) {
    roads.open(
        address,
        new Roads.Place() {
          @Override
          public Host host() {
            return host;
          }

          @Override
          public boolean takes(Pipe.End end) {
            host.event(() -> listener.accepted(end));
            return !dead;
          }
        });
    defer(() -> listener.listening(null));
  }

  @Override
  public Wake schedule(Span span, Runnable step) {
    boolean[] off = {false};
    clock.at(
        host.now().plus(span),
        () ->
            host.event(
                () -> {
                  if (!off[0]) {
                    step.run();
                  }
                }));
    return () -> off[0] = true;
  }

  @Override
  public void scheduleEvery(Span span, Runnable step) {
    schedule(
        span,
        () -> {
          step.run();
          scheduleEvery(span, step);
        });
  }

  @Override
  public void defer(Runnable step) {
    host.event(step);
  }

  @Override
  public void whenFlushed(Span atMost, Runnable step) {
    defer(step); // what is written here leaves at once
  }
}
