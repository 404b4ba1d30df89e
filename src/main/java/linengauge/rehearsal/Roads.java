package linengauge.rehearsal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;
import linengauge.Span;
import linengauge.platform.Net;

/** The network of a fleet: who listens where, and what of it is cut. */
final class Roads {
  /** Whoever listens at an address. */
  interface Place {
    Host host();

    /** False: its table of connections is full, and the new one is refused. */
    boolean takes(Pipe.End end);
  }

  private static final Span LATENCY = Span.ofMillis(1);

  private final Clockwork clock;
  private final Span dial;
  private final Map<String, Place> places = new HashMap<>();

  /** Connections that stand, of each process that has a name; bounded by what processes open. */
  private final Map<String, List<Pipe>> pipes = new HashMap<>();

  /** From whom to which address nothing comes through. */
  private final List<Cut> cuts = new ArrayList<>();

  private record Cut(Predicate<String> from, Predicate<String> to) {}

  Roads(Clockwork clock, Span dial) {
    this.clock = clock;
    this.dial = dial;
  }

  void open(String address, Place place) {
    places.put(address, place);
  }

  /**
   * Nothing listens there any more: new connections are refused, or, where the machine is gone,
   * never come up.
   */
  void shut(String address) {
    places.remove(address);
  }

  /** Between these nothing comes through from now on, until the returned step is run. */
  Runnable cut(Predicate<String> from, Predicate<String> to) {
    Cut cut = new Cut(from, to);
    cuts.add(cut);
    silence(cut, true);
    return () -> {
      cuts.remove(cut);
      silence(cut, false);
    };
  }

  private void silence(Cut cut, boolean silent) {
    pipes.forEach(
        (way, list) -> {
          String[] ends = way.split(" ");
          if (cut.from.test(ends[0]) && cut.to.test(ends[1])) {
            list.forEach(p -> p.silence(silent));
          }
        });
  }

  private boolean isCut(String from, String to) {
    return cuts.stream().anyMatch(c -> c.from.test(from) && c.to.test(to));
  }

  /** Tries a connection from a process to an address. */
  void connect(String from, Host host, String to, Net.ConnectHandler then) {
    if (isCut(from, to)) {
      clock.at(host.now().plus(dial), () -> host.event(() -> then.failed(false, "Timeout")));
      return;
    }
    clock.at(
        host.now().plus(LATENCY),
        () -> {
          Place place = places.get(to);
          Pipe pipe = place == null ? null : new Pipe(clock, LATENCY, host, place.host(), from);
          if (pipe == null || !place.takes(pipe.far())) {
            clock.after(LATENCY, () -> host.event(() -> then.failed(true, "refused")));
            return;
          }
          pipes.computeIfAbsent(from + " " + to, k -> new ArrayList<>()).add(pipe);
          clock.after(LATENCY, () -> host.event(() -> then.connected(pipe.near())));
        });
  }

  /** The process has died: all its connections break, and the other ends hear of it. */
  void died(String process, Consumer<Pipe> each) {
    pipes.forEach(
        (way, list) -> {
          String[] ends = way.split(" ");
          boolean near = ends[0].equals(process);
          if (near || ends[1].equals(process)) {
            for (Pipe p : list) {
              p.died(near ? p.near() : p.far());
              each.accept(p);
            }
            list.clear();
          }
        });
  }

  /** Breaks one in so many of the connections that lead to such addresses. */
  void resetSome(Predicate<String> to, Predicate<Pipe> which) {
    pipes.forEach(
        (way, list) -> {
          if (to.test(way.split(" ")[1])) {
            list.removeIf(
                p -> {
                  boolean chosen = p.near().isOpen() && which.test(p);
                  if (chosen) {
                    p.reset();
                  }
                  return chosen || !p.near().isOpen() && !p.far().isOpen();
                });
          }
        });
  }
}
