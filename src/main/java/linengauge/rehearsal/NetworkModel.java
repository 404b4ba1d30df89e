package linengauge.rehearsal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;
import linengauge.Span;
import linengauge.platform.Net;

/** The network of a fleet: its listeners, its connections and its partitions. */
final class NetworkModel {
  /** A listener at an address. */
  interface Acceptor {
    SimulatedProcess process();

    /** Accepts a connection; false where its table of connections is full and it refuses. */
    boolean accept(SimulatedConnection.Endpoint end);
  }

  private static final Span LATENCY = Span.ofMillis(1);

  private final VirtualClock clock;
  private final Span dialTimeout;
  private final Map<String, Acceptor> acceptors = new HashMap<>();

  /**
   * Open connections by "from to". The number of keys is bounded by the processes of the fleet, the
   * lists by what these open.
   */
  private final Map<String, List<SimulatedConnection>> connections = new HashMap<>();

  /** Pairs of sources and addresses between which no traffic passes. */
  private final List<Partition> partitions = new ArrayList<>();

  private record Partition(Predicate<String> from, Predicate<String> to) {}

  NetworkModel(VirtualClock clock, Span dial) {
    this.clock = clock;
    this.dialTimeout = dial;
  }

  void listen(String address, Acceptor place) {
    acceptors.put(address, place);
  }

  /** Removes the listener at an address; new connections to it are refused. */
  void stopListening(String address) {
    acceptors.remove(address);
  }

  /** Blocks all traffic between sources and addresses until the returned step is run. */
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

  /** Tries to open a connection from a process to an address. */
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

  /** Breaks all connections of a process that has died; the other ends are notified. */
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

  /** Resets the chosen connections that lead to the given addresses. */
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
