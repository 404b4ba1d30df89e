package linengauge.vrrp.explore;

import java.util.ArrayList;
import java.util.List;
import linengauge.Moment;
import linengauge.Span;
import linengauge.vrrp.Advertisement;
import linengauge.vrrp.VirtualRouter;

/** Some nodes and the wire between them at one moment; copied before each choice. */
final class NetworkState {
  /** An advertisement on its way. */
  record Message(int from, int to, Advertisement advert, Moment at) {
    Message later(Moment then) {
      return new Message(from, to, advert, then);
    }
  }

  private final class Node implements VirtualRouter.Port {
    private final int number;
    private VirtualRouter router;
    private boolean up = true;
    private Moment frozenUntil;

    private Node(int number) {
      this.number = number;
    }

    @Override
    public void send(Advertisement a) {
      sentInStep += a.priority() > 0 ? 1 : 0;
      for (int to = 0; to < nodes.size(); to++) {
        if (to != number && !cut[number][to]) {
          onTheWay.add(new Message(number, to, a, now.plus(plan.messageDelay())));
        }
      }
    }

    @Override
    public void acquireAddress(int vrid) {
      // who holds the address is told by the routers' states
    }

    @Override
    public void announceAddress(int vrid) {
      // as above
    }

    @Override
    public void releaseAddress(int vrid) {
      // as above
    }
  }

  private final ExplorationPlan plan;
  private final List<Node> nodes = new ArrayList<>();
  private final List<Message> onTheWay = new ArrayList<>();
  private final boolean[][] cut;
  private Moment now = new Moment(0);
  private int sentInStep;

  NetworkState(ExplorationPlan plan) {
    this.plan = plan;
    this.cut = new boolean[plan.nodeCount()][plan.nodeCount()];
    for (int i = 0; i < plan.nodeCount(); i++) {
      nodes.add(new Node(i));
    }
    for (Node n : nodes) {
      start(n);
    }
  }

  NetworkState(NetworkState o) {
    this.plan = o.plan;
    this.cut = new boolean[o.cut.length][];
    for (int i = 0; i < cut.length; i++) {
      cut[i] = o.cut[i].clone();
    }
    this.now = o.now;
    onTheWay.addAll(o.onTheWay);
    for (Node n : o.nodes) {
      Node copy = new Node(n.number);
      copy.router = n.router.copy(copy);
      copy.up = n.up;
      copy.frozenUntil = n.frozenUntil;
      nodes.add(copy);
    }
  }

  private void start(Node n) {
    n.router = plan.routerFactory().create(plan.settings(n.number), n);
    n.up = true;
    n.router.start(now);
  }

  Moment now() {
    return now;
  }

  /** The nodes that are Active, running or frozen: viewers' connections would find either. */
  List<Integer> active() {
    List<Integer> all = new ArrayList<>();
    for (Node n : nodes) {
      if (n.up && n.router.state() == VirtualRouter.State.ACTIVE) {
        all.add(n.number);
      }
    }
    return all;
  }

  boolean isUp(int node) {
    return nodes.get(node).up;
  }

  boolean isFrozen(int node) {
    return nodes.get(node).frozenUntil != null;
  }

  boolean isCut(int from, int to) {
    return cut[from][to];
  }

  long activations() {
    return nodes.stream().mapToLong(n -> n.router.counts().activations).sum();
  }

  /* ---- what comes next ---- */

  /**
   * The message that arrives next, if that is the next thing to happen; null where a timer or a
   * thaw is.
   */
  Message nextMessage() {
    Message first = null;
    for (Message m : onTheWay) {
      if (first == null || m.at.before(first.at)) {
        first = m;
      }
    }
    Moment timer = nextTimer();
    return first != null && (timer == null || !timer.before(first.at)) ? first : null;
  }

  private Moment nextTimer() {
    Moment first = null;
    for (Node n : nodes) {
      Moment at = !n.up ? null : n.frozenUntil != null ? n.frozenUntil : n.router.nextTimer();
      first = at != null && (first == null || at.before(first)) ? at : first;
    }
    return first;
  }

  /** When the next thing happens; null: never again. */
  Moment nextAt() {
    Message m = nextMessage();
    return m != null ? m.at : nextTimer();
  }

  /** Lets the next thing happen; what it broke, or null. */
  String step() {
    Message m = nextMessage();
    if (m != null) {
      onTheWay.remove(m);
      return arrives(m);
    }
    Moment at = nextTimer();
    now = now.orLater(at);
    for (Node n : nodes) {
      Moment due = !n.up ? null : n.frozenUntil != null ? n.frozenUntil : n.router.nextTimer();
      if (due != null && due.equals(at)) {
        return wakes(n);
      }
    }
    throw new IllegalStateException("nothing is due");
  }

  private String wakes(Node n) {
    boolean thaws = n.frozenUntil != null;
    boolean overdue =
        thaws
            && n.router.state() == VirtualRouter.State.ACTIVE
            && !now.before(n.router.leaseExpiry());
    n.frozenUntil = null;
    sentInStep = 0;
    n.router.runTimers(now);
    return overdue && plan.extensions().detectsPauses() && sentInStep > 0
        ? "node " + n.number + " sent as Active in the step in which it woke after too long"
        : null;
  }

  private String arrives(Message m) {
    now = now.orLater(m.at);
    Node n = nodes.get(m.to);
    if (!n.up) {
      return null;
    }
    String broken = n.frozenUntil != null && !now.before(n.frozenUntil) ? wakes(n) : null;
    if (broken != null) {
      return broken;
    }
    if (n.frozenUntil != null) {
      onTheWay.add(m.later(n.frozenUntil)); // its socket keeps it
      return null;
    }
    boolean better =
        n.router.state() == VirtualRouter.State.ACTIVE
            && m.advert.priority() > 0
            && (m.advert.priority() > n.router.priority()
                || m.advert.priority() == n.router.priority()
                    && m.from > m.to); // addresses rise with numbers
    sentInStep = 0;
    n.router.receive(m.advert, plan.address(m.from), now);
    return better && sentInStep > 0
        ? "node " + n.number + " sent as Active in the step in which it heard a better one"
        : null;
  }

  /* ---- troubles ---- */

  void lose(Message m) {
    now = now.orLater(m.at);
    onTheWay.remove(m);
  }

  void delay(Message m, Span by) {
    onTheWay.remove(m);
    onTheWay.add(m.later(m.at.plus(by)));
  }

  void crash(int node) {
    Node n = nodes.get(node);
    n.up = false;
    n.frozenUntil = null;
  }

  void restart(int node) {
    start(nodes.get(node));
  }

  void freeze(int node, Span span) {
    nodes.get(node).frozenUntil = now.plus(span);
  }

  void cut(int from, int to, boolean isCut) {
    cut[from][to] = isCut;
  }

  /** Troubles end: links carry; whoever stands still runs when its time has come. */
  void heal() {
    for (Node n : nodes) {
      for (int to = 0; to < nodes.size(); to++) {
        cut[n.number][to] = false;
      }
    }
  }

  /** Tells two worlds apart as far as anything to come depends on it. */
  List<Object> mark() {
    List<Object> all = new ArrayList<>();
    for (Node n : nodes) {
      all.add(n.up ? n.router.fingerprint(now) : List.of());
      all.add(n.frozenUntil == null ? -1L : n.frozenUntil.since(now).micros());
    }
    for (Message m : onTheWay) {
      all.add(List.of(m.from, m.to, m.advert.priority(), m.at.since(now).micros()));
    }
    for (boolean[] row : cut) {
      for (boolean c : row) {
        all.add(c);
      }
    }
    return all;
  }
}
