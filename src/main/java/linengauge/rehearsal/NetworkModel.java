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
final class NetworkModel {
  /** Whoever listens at an address. */
  interface Acceptor {
    SimulatedProcess process();

    /** False: its table of connections is full, and the new one is refused. */
    boolean accept(SimulatedConnection.Endpoint end);
  }

  private static final Span LATENCY = Span.ofMillis(1);

  private final VirtualClock clock;
  private final Span dialTimeout;
  private final Map<String, Acceptor> acceptors = new HashMap<>();

  /** Connections that stand, of each process that has a name; bounded by what processes open. */
  private final Map<String, List<SimulatedConnection>> connections = new HashMap<>();

  /** From whom to which address nothing comes through. */
  private final List<Partition> partitions = new ArrayList<>();

  private record Partition(Predicate<String> from, Predicate<String> to) {}

  NetworkModel(VirtualClock clock, Span dial) {
    this.clock = clock;
    this.dialTimeout = dial;
  }

  void listen(String address, Acceptor place) {
    acceptors.put(address, place);
  }

  /**
   * Nothing listens there any more: new connections are refused, or, where the machine is gone,
   * never come up.
   */
  void stopListening(String address) {
    acceptors.remove(address);
  }

  /** Between these nothing comes through from now on, until the returned step is run. */
  Runnable partition(Predicate<String> from, Predicate<String> to) {
    Partition cut = new Partition(from, to);
    partitions.add(cut);
    stallConnections(cut, true);
    return () -> {
      partitions.remove(cut);
      stallConnections(cut, false);
    };
  }

  private void stallConnections(Partition cut, boolean silent) {
    connections.forEach(
        (way, list) -> {
          String[] ends = way.split(" ");
          if (cut.from.test(ends[0]) && cut.to.test(ends[1])) {
            list.forEach(p -> p.setStalled(silent));
          }
        });
  }

  private boolean isPartitioned(String from, String to) {
    return partitions.stream().anyMatch(c -> c.from.test(from) && c.to.test(to));
  }

  /** Tries a connection from a process to an address. */
  void connect(String from, SimulatedProcess host, String to, Net.Tried then) {
    if (isPartitioned(from, to)) {
      clock.scheduleAt(
          host.now().plus(dialTimeout), () -> host.deliver(() -> then.failed(false, "Timeout")));
      return;
    }
    clock.scheduleAt(
        host.now().plus(LATENCY),
        () -> {
          Acceptor place = acceptors.get(to);
          SimulatedConnection pipe =
              place == null
                  ? null
                  : new SimulatedConnection(clock, LATENCY, host, place.process(), from);
          if (pipe == null || !place.accept(pipe.serverEnd())) {
            clock.scheduleAfter(LATENCY, () -> host.deliver(() -> then.failed(true, "refused")));
            return;
          }
          connections.computeIfAbsent(from + " " + to, k -> new ArrayList<>()).add(pipe);
          clock.scheduleAfter(LATENCY, () -> host.deliver(() -> then.up(pipe.clientEnd())));
        });
  }

  /** The process has died: all its connections break, and the other ends hear of it. */
  void breakConnections(String process, Consumer<SimulatedConnection> each) {
    connections.forEach(
        (way, list) -> {
          String[] ends = way.split(" ");
          boolean near = ends[0].equals(process);
          if (near || ends[1].equals(process)) {
            for (SimulatedConnection p : list) {
              p.processDied(near ? p.clientEnd() : p.serverEnd());
              each.accept(p);
            }
            list.clear();
          }
        });
  }

  /** Breaks one in so many of the connections that lead to such addresses. */
  void resetConnections(Predicate<String> to, Predicate<SimulatedConnection> which) {
    connections.forEach(
        (way, list) -> {
          if (to.test(way.split(" ")[1])) {
            list.removeIf(
                p -> {
                  boolean chosen = p.clientEnd().isOpen() && which.test(p);
                  if (chosen) {
                    p.reset();
                  }
                  return chosen || !p.clientEnd().isOpen() && !p.serverEnd().isOpen();
                });
          }
        });
  }
}
