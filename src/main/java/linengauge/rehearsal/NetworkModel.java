package linengauge.rehearsal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;
import linengauge.Moment;
import linengauge.Span;
import linengauge.platform.Net;

/** The network of a fleet: its listeners, its connections and its partitions. */
final class NetworkModel {
  /** A listener at an address. */
  interface Acceptor {
    SimulatedProcess process();

    /** Accepts a connection; false where its table of connections is full and it refuses. */
    boolean accept(SimulatedConnection.Endpoint endpoint);
  }

  private static final Span LATENCY = Span.ofMillis(1);
  private static final Span FIRST_RETRANSMISSION = Span.ofSeconds(1);

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

  NetworkModel(VirtualClock clock, Span dialTimeout) {
    this.clock = clock;
    this.dialTimeout = dialTimeout;
  }

  void listen(String address, Acceptor acceptor) {
    acceptors.put(address, acceptor);
  }

  /** Removes the listener at an address; new connections to it are refused. */
  void stopListening(String address) {
    acceptors.remove(address);
  }

  /** Blocks all traffic between sources and addresses until the returned step is run. */
  Runnable partition(Predicate<String> from, Predicate<String> to) {
    Partition partition = new Partition(from, to);
    partitions.add(partition);
    stallConnections(partition, true);
    return () -> {
      partitions.remove(partition);
      stallConnections(partition, false);
    };
  }

  private void stallConnections(Partition partition, boolean stalled) {
    connections.forEach(
        (route, routeConnections) -> {
          String[] routeEnds = route.split(" ");
          if (partition.from.test(routeEnds[0]) && partition.to.test(routeEnds[1])) {
            routeConnections.forEach(connection -> connection.setStalled(stalled));
          }
        });
  }

  private boolean isPartitioned(String from, String to) {
    return partitions.stream()
        .anyMatch(partition -> partition.from.test(from) && partition.to.test(to));
  }

  /**
   * Tries to open a connection from a process to an address, within the time limit or, if that is
   * {@link Span#NONE}, within the network's own. As over TCP, what a partition has dropped is sent
   * again after 1 s, then after 2 s and so on.
   */
  void connect(
      String from,
      SimulatedProcess process,
      String to,
      Span timeLimit,
      Net.ConnectHandler callback) {
    Moment deadline = process.now().plus(timeLimit.equals(Span.NONE) ? dialTimeout : timeLimit);
    dial(new Dial(from, process, to, deadline, callback), FIRST_RETRANSMISSION);
  }

  private record Dial(
      String from,
      SimulatedProcess process,
      String to,
      Moment deadline,
      Net.ConnectHandler callback) {}

  private void dial(Dial dial, Span retransmission) {
    if (!isPartitioned(dial.from, dial.to)) {
      establish(dial.from, dial.process, dial.to, dial.callback);
      return;
    }
    Moment next = dial.process.now().plus(retransmission);
    if (next.isBefore(dial.deadline)) {
      clock.scheduleAt(next, () -> dial.process.deliver(() -> dial(dial, retransmission.times(2))));
    } else {
      clock.scheduleAt(
          dial.deadline, () -> dial.process.deliver(() -> dial.callback.failed(false, "Timeout")));
    }
  }

  private void establish(
      String from, SimulatedProcess process, String to, Net.ConnectHandler callback) {
    clock.scheduleAt(
        process.now().plus(LATENCY),
        () -> {
          Acceptor acceptor = acceptors.get(to);
          SimulatedConnection connection =
              acceptor == null
                  ? null
                  : new SimulatedConnection(clock, LATENCY, process, acceptor.process(), from);
          if (connection == null || !acceptor.accept(connection.serverEnd())) {
            clock.scheduleAfter(
                LATENCY, () -> process.deliver(() -> callback.failed(true, "refused")));
            return;
          }
          connections.computeIfAbsent(from + " " + to, route -> new ArrayList<>()).add(connection);
          clock.scheduleAfter(
              LATENCY, () -> process.deliver(() -> callback.connected(connection.clientEnd())));
        });
  }

  /** Breaks all connections of a process that has died; the other ends are notified. */
  void breakConnections(String process, Consumer<SimulatedConnection> action) {
    connections.forEach(
        (route, routeConnections) -> {
          String[] routeEnds = route.split(" ");
          boolean atClient = routeEnds[0].equals(process);
          if (atClient || routeEnds[1].equals(process)) {
            for (SimulatedConnection connection : routeConnections) {
              connection.processDied(atClient ? connection.clientEnd() : connection.serverEnd());
              action.accept(connection);
            }
            routeConnections.clear();
          }
        });
  }

  /** Resets the chosen connections that lead to the given addresses. */
  void resetConnections(Predicate<String> to, Predicate<SimulatedConnection> which) {
    connections.forEach(
        (route, routeConnections) -> {
          if (to.test(route.split(" ")[1])) {
            routeConnections.removeIf(
                connection -> {
                  boolean chosen = connection.clientEnd().isOpen() && which.test(connection);
                  if (chosen) {
                    connection.reset();
                  }
                  return chosen
                      || !connection.clientEnd().isOpen() && !connection.serverEnd().isOpen();
                });
          }
        });
  }
}
