package linengauge.platform;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import linengauge.Outside;
import linengauge.Span;
import linengauge.session.BoxTable;
import linengauge.session.Session;
import linengauge.session.Transport;

/**
 * All media boxes' connections, by the box's id: a successor may have the address of one that has
 * gone.
 */
final class ServerLinks implements Transport {
  private final PlatformFront front;
  private final int places;
  private int wires;
  private long tests;
  private int connectionNumber;

  /**
   * Emptied by {@link #checkIdle}: a link leaves once its box has gone and nothing of it is left.
   */
  private final Map<Long, ServerLink> links = new LinkedHashMap<>();

  ServerLinks(PlatformFront front, int places) {
    this.front = front;
    this.places = places;
  }

  PlatformFront front() {
    return front;
  }

  /** Whether one more connection may be opened; each counts until it has closed. */
  boolean place() {
    if (wires >= places) {
      return false;
    }
    wires++;
    return true;
  }

  void placeFree() {
    wires--;
  }

  /**
   * Where no place is left: the connection that takes nothing new and has the fewest viewings gives
   * its own.
   */
  boolean makePlace() {
    ServerConnection least = null;
    for (ServerLink link : links.values()) {
      least = link.leastRetired(least);
    }
    if (least != null) {
      least.close("its place is wanted");
    }
    return least != null;
  }

  /** Numbers connections, over all servers. */
  int nextConnectionNumber() {
    return ++connectionNumber;
  }

  long testId() {
    return ++tests;
  }

  private ServerLink link(BoxTable.Entry box) {
    return links.computeIfAbsent(box.id(), n -> new ServerLink(this, box));
  }

  /** A viewing that plays already at its box: what the box says of it must be able to come. */
  void stands(ClientSession seat) {
    link(seat.held().box()).stands(seat);
  }

  /** The list has changed. */
  void listed() {
    look();
  }

  void look() {
    for (ServerLink link : List.copyOf(links.values())) {
      if (link.look(front.now())) {
        links.remove(link.box().id());
      }
    }
  }

  @Override
  public Timer schedule(Span span, Runnable step) {
    return front.after(span, step);
  }

  @Override
  public void setUp(Session vw, int tuneIn) {
    BoxTable.Entry box = vw.box();
    // Guards against two out at once: what ends the one before may have been written while its
    // connection was being read,
    // and leaves only as that reading is over, where this one would leave at once on another
    // connection. And against one
    // for a viewer whose end has come with what is being read now.
    front.later(
        () -> {
          if (vw.isAwaiting(tuneIn)) {
            link(box).setUp(vw, tuneIn);
          }
        });
  }

  @Override
  public void changeRung(Session vw) {
    link(vw.box()).rung((ClientSession) vw.viewer(), vw.currentRung());
  }

  @Override
  public void cancelAtBox(Session vw, BoxTable.Entry box, int tuneIn) {
    link(box).withdraw(vw, tuneIn);
  }

  @Override
  public Outside.Ending classifyTimeout(Session vw, int tuneIn) {
    return link(vw.box()).unanswered(vw, tuneIn);
  }

  @Override
  public void requestEndConfirmation(Session vw, long box) {
    ServerLink link = links.get(box);
    if (link != null) {
      link.askConfirmation(((ClientSession) vw.viewer()).id());
    }
  }

  @Override
  public void probe(BoxTable.Entry box) {
    link(box).probe();
  }

  @Override
  public void send(int front, byte[] datagram) {
    // the platform carries no words between fronts; its settings permit none
  }

  @Override
  public void coreFailed(RuntimeException cause) {
    front.failed(cause);
  }

  int linked() {
    return links.size();
  }

  int connections() {
    return wires;
  }

  /** Figures for the log: connections and links. */
  String figures() {
    return links.size() + " boxes, " + wires + " connections";
  }

  static <K, V> List<V> taken(Map<K, V> from) {
    List<V> all = new ArrayList<>(from.values());
    from.clear();
    return all;
  }
}
