package linengauge.platform;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import linengauge.Outside;
import linengauge.Span;
import linengauge.session.BoxTable;
import linengauge.session.Carrier;
import linengauge.session.Held;

/**
 * All media boxes' connections, by the box's id: a successor may have the address of one that has
 * gone.
 */
final class ServerLinks implements Carrier {
  private final PlatformFront front;
  private final int maxConnections;
  private int connectionCount;
  private long lastTestId;
  private int lastConnectionNumber;

  /**
   * Emptied by {@link #checkSilence}: a link leaves once its box has gone and nothing of it is
   * left.
   */
  private final Map<Long, ServerLink> links = new LinkedHashMap<>();

  ServerLinks(PlatformFront front, int maxConnections) {
    this.front = front;
    this.maxConnections = maxConnections;
  }

  PlatformFront front() {
    return front;
  }

  /** Whether one more connection may be opened; each counts until it has closed. */
  boolean reserveConnection() {
    if (connectionCount >= maxConnections) {
      return false;
    }
    connectionCount++;
    return true;
  }

  void releaseConnection() {
    connectionCount--;
  }

  /**
   * Where no place is left: the connection that takes nothing new and has the fewest viewings gives
   * its own.
   */
  boolean closeRetiredConnection() {
    ServerConnection least = null;
    for (ServerLink link : links.values()) {
      least = link.leastUsedRetired(least);
    }
    if (least != null) {
      least.close("its place is wanted");
    }
    return least != null;
  }

  /** Numbers connections, over all servers. */
  int nextConnectionNumber() {
    return ++lastConnectionNumber;
  }

  long nextTestId() {
    return ++lastTestId;
  }

  private ServerLink linkTo(BoxTable.Entry server) {
    return links.computeIfAbsent(server.id(), id -> new ServerLink(this, server));
  }

  /** A viewing that plays already at its box: what the box says of it must be able to come. */
  void adopt(ClientSession clientSession) {
    linkTo(clientSession.session().box()).adopt(clientSession);
  }

  /** The list has changed. */
  void discoveryUpdated() {
    sweep();
  }

  void sweep() {
    for (ServerLink link : List.copyOf(links.values())) {
      if (link.sweep(front.now())) {
        links.remove(link.server().id());
      }
    }
  }

  @Override
  public Wake wakeAfter(Span delay, Runnable task) {
    return front.schedule(delay, task);
  }

  @Override
  public void setUp(Held session, int attempt) {
    BoxTable.Entry server = session.box();
    // Guards against two out at once: what ends the one before may have been written while its
    // connection was being read,
    // and leaves only as that reading is over, where this one would leave at once on another
    // connection. And against one
    // for a viewer whose end has come with what is being read now.
    front.defer(
        () -> {
          if (session.waitsFor(attempt)) {
            linkTo(server).startAttempt(session, attempt);
          }
        });
  }

  @Override
  public void rung(Held session) {
    linkTo(session.box()).sendRung((ClientSession) session.viewer(), session.rungNow());
  }

  @Override
  public void withdraw(Held session, BoxTable.Entry server, int attempt) {
    linkTo(server).cancel(session, attempt);
  }

  @Override
  public Outside.Ending unanswered(Held session, int attempt) {
    return linkTo(session.box()).timeoutOutcome(session, attempt);
  }

  @Override
  public void askConfirmation(Held session, long server) {
    ServerLink link = links.get(server);
    if (link != null) {
      link.requestEndConfirmation(((ClientSession) session.viewer()).id());
    }
  }

  @Override
  public void probe(BoxTable.Entry server) {
    linkTo(server).probe();
  }

  @Override
  public void send(int front, byte[] datagram) {
    // the platform carries no words between fronts; its settings permit none
  }

  @Override
  public void failed(RuntimeException cause) {
    front.failed(cause);
  }

  int linkCount() {
    return links.size();
  }

  int connectionCount() {
    return connectionCount;
  }

  /** Figures for the log: connections and links. */
  String summary() {
    return links.size() + " boxes, " + connectionCount + " connections";
  }

  static <K, V> List<V> drain(Map<K, V> from) {
    List<V> values = new ArrayList<>(from.values());
    from.clear();
    return values;
  }
}
