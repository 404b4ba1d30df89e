package linengauge.vrrp.explore;

import java.util.ArrayList;
import java.util.List;
import linengauge.Moment;
import linengauge.Span;
import linengauge.vrrp.Advertisement;
import linengauge.vrrp.VirtualRouter;

/** The nodes and the network between them at one moment; copied before each choice. */
final class NetworkState {
  /** An advertisement in flight. */
  record Message(int from, int to, Advertisement advertisement, Moment arrivesAt) {
    Message rescheduledTo(Moment newArrival) {
      return new Message(from, to, advertisement, newArrival);
    }
  }

  private final class Node implements VirtualRouter.Port {
    private final int number;
    private VirtualRouter router;
    private boolean up = true;
    private Moment pausedUntil;

    private Node(int number) {
      this.number = number;
    }

    @Override
    public void send(Advertisement advertisement) {
      advertisementsInStep += advertisement.priority() > 0 ? 1 : 0;
      for (int to = 0; to < nodes.size(); to++) {
        if (to != number && !cut[number][to]) {
          inFlight.add(new Message(number, to, advertisement, now.plus(plan.messageDelay())));
        }
      }
    }

    @Override
    public void acquireAddress(int vrid) {
      // The states of the routers say who holds the address.
    }

    @Override
    public void announceAddress(int vrid) {
      // The states of the routers say who holds the address.
    }

    @Override
    public void releaseAddress(int vrid) {
      // The states of the routers say who holds the address.
    }
  }

  private final ExplorationPlan plan;
  private final List<Node> nodes = new ArrayList<>();
  private final List<Message> inFlight = new ArrayList<>();
  private final boolean[][] cut;
  private Moment now = new Moment(0);
  private int advertisementsInStep;

  NetworkState(ExplorationPlan plan) {
    this.plan = plan;
    this.cut = new boolean[plan.nodeCount()][plan.nodeCount()];
    for (int i = 0; i < plan.nodeCount(); i++) {
      nodes.add(new Node(i));
    }
    for (Node node : nodes) {
      start(node);
    }
  }

  NetworkState(NetworkState other) {
    this.plan = other.plan;
    this.cut = new boolean[other.cut.length][];
    for (int i = 0; i < cut.length; i++) {
      cut[i] = other.cut[i].clone();
    }
    this.now = other.now;
    inFlight.addAll(other.inFlight);
    for (Node node : other.nodes) {
      Node copy = new Node(node.number);
      copy.router = node.router.copy(copy);
      copy.up = node.up;
      copy.pausedUntil = node.pausedUntil;
      nodes.add(copy);
    }
  }

  private void start(Node node) {
    node.router = plan.routerFactory().create(plan.settings(node.number), node);
    node.up = true;
    node.router.start(now);
  }

  Moment now() {
    return now;
  }

  /** Returns the Active nodes, running or paused; viewers' connections may reach either. */
  List<Integer> active() {
    List<Integer> active = new ArrayList<>();
    for (Node node : nodes) {
      if (node.up && node.router.state() == VirtualRouter.State.ACTIVE) {
        active.add(node.number);
      }
    }
    return active;
  }

  boolean isUp(int number) {
    return nodes.get(number).up;
  }

  boolean isPaused(int number) {
    return nodes.get(number).pausedUntil != null;
  }

  boolean isCut(int from, int to) {
    return cut[from][to];
  }

  long activations() {
    return nodes.stream().mapToLong(node -> node.router.counts().activations).sum();
  }

  /* ---- events ---- */

  /**
   * Returns the message that arrives next if its arrival is the next event; null if that is a timer
   * or the end of a pause.
   */
  Message nextMessage() {
    Message first = null;
    for (Message message : inFlight) {
      if (first == null || message.arrivesAt.isBefore(first.arrivesAt)) {
        first = message;
      }
    }
    Moment timer = nextTimer();
    return first != null && (timer == null || !timer.isBefore(first.arrivesAt)) ? first : null;
  }

  private Moment nextTimer() {
    Moment first = null;
    for (Node node : nodes) {
      Moment at =
          !node.up ? null : node.pausedUntil != null ? node.pausedUntil : node.router.nextTimer();
      first = at != null && (first == null || at.isBefore(first)) ? at : first;
    }
    return first;
  }

  /** Returns the time of the next event; null: there is none. */
  Moment nextEventTime() {
    Message message = nextMessage();
    return message != null ? message.arrivesAt : nextTimer();
  }

  /** Runs the next event and returns the violated property, or null. */
  String step() {
    Message message = nextMessage();
    if (message != null) {
      inFlight.remove(message);
      return deliver(message);
    }
    Moment at = nextTimer();
    now = now.max(at);
    for (Node node : nodes) {
      Moment due =
          !node.up ? null : node.pausedUntil != null ? node.pausedUntil : node.router.nextTimer();
      if (due != null && due.equals(at)) {
        return runTimers(node);
      }
    }
    throw new IllegalStateException("no event is due");
  }

  private String runTimers(Node node) {
    boolean wasPaused = node.pausedUntil != null;
    boolean overdue =
        wasPaused
            && node.router.state() == VirtualRouter.State.ACTIVE
            && !now.isBefore(node.router.leaseExpiry());
    node.pausedUntil = null;
    advertisementsInStep = 0;
    node.router.runTimers(now);
    return overdue && plan.extensions().detectsPauses() && advertisementsInStep > 0
        ? "node " + node.number + " sent as Active in the step in which it woke after too long"
        : null;
  }

  private String deliver(Message message) {
    now = now.max(message.arrivesAt);
    Node node = nodes.get(message.to);
    if (!node.up) {
      return null;
    }
    String violation =
        node.pausedUntil != null && !now.isBefore(node.pausedUntil) ? runTimers(node) : null;
    if (violation != null) {
      return violation;
    }
    if (node.pausedUntil != null) {
      // The socket buffers it until the pause ends.
      inFlight.add(message.rescheduledTo(node.pausedUntil));
      return null;
    }
    // Addresses increase with the node numbers.
    boolean isSuperior =
        node.router.state() == VirtualRouter.State.ACTIVE
            && message.advertisement.priority() > 0
            && (message.advertisement.priority() > node.router.priority()
                || message.advertisement.priority() == node.router.priority()
                    && message.from > message.to);
    advertisementsInStep = 0;
    node.router.receive(message.advertisement, plan.address(message.from), now);
    return isSuperior && advertisementsInStep > 0
        ? "node " + node.number + " sent as Active in the step in which it heard a better one"
        : null;
  }

  /* ---- faults ---- */

  void lose(Message message) {
    now = now.max(message.arrivesAt);
    inFlight.remove(message);
  }

  void delay(Message message, Span by) {
    inFlight.remove(message);
    inFlight.add(message.rescheduledTo(message.arrivesAt.plus(by)));
  }

  void crash(int number) {
    Node node = nodes.get(number);
    node.up = false;
    node.pausedUntil = null;
  }

  void restart(int number) {
    start(nodes.get(number));
  }

  void pause(int number, Span span) {
    nodes.get(number).pausedUntil = now.plus(span);
  }

  void cut(int from, int to, boolean isCut) {
    cut[from][to] = isCut;
  }

  /** Restores all links; paused nodes continue when their pauses end. */
  void heal() {
    for (Node node : nodes) {
      for (int to = 0; to < nodes.size(); to++) {
        cut[node.number][to] = false;
      }
    }
  }

  /** Returns values that differ between states that can behave differently from here on. */
  List<Object> fingerprint() {
    List<Object> values = new ArrayList<>();
    for (Node node : nodes) {
      values.add(node.up ? node.router.fingerprint(now) : List.of());
      values.add(node.pausedUntil == null ? -1L : node.pausedUntil.since(now).micros());
    }
    for (Message message : inFlight) {
      values.add(
          List.of(
              message.from,
              message.to,
              message.advertisement.priority(),
              message.arrivesAt.since(now).micros()));
    }
    for (boolean[] row : cut) {
      for (boolean linkCut : row) {
        values.add(linkCut);
      }
    }
    return values;
  }
}
