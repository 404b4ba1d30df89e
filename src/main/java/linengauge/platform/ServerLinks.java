package linengauge.platform;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import linengauge.Environment;
import linengauge.Span;
import linengauge.platform.connection.RecentAttemptIds;
import linengauge.session.BoxTable;
import linengauge.session.Session;
import linengauge.session.Transport;

/**
 * The connections to all media servers, by the server's id: a new server may have the address of
 * one that is gone.
 */
final class ServerLinks implements Transport {
  /** Ids of set-ups sent to any server that are remembered; the oldest is forgotten first. */
  private static final int MAX_SENT_IDS = 8192;

  private static final Span SENT_ID_RETENTION = Span.ofSeconds(60);

  private final PlatformFront front;
  private final int maxConnections;
  private int connectionCount;
  private long lastTestId;
  private int lastConnectionNumber;

  /** A link is removed by {@link #sweep} once its server is gone and nothing of it is left. */
  private final Map<Long, ServerLink> links = new LinkedHashMap<>();

  /** The links with a connection, being dialled or open; as many as connections at most. */
  private final Set<ServerLink> connectedLinks = new LinkedHashSet<>();

  private final RecentAttemptIds sentIds = new RecentAttemptIds(MAX_SENT_IDS, SENT_ID_RETENTION);

  private boolean isSweeping;

  /** The present sweep has found no connection that may be closed to make room. */
  private boolean sweepFoundNoneToClose;

  ServerLinks(PlatformFront front, int maxConnections) {
    this.front = front;
    this.maxConnections = maxConnections;
  }

  PlatformFront front() {
    return front;
  }

  /** Reserves one more connection, which counts until it has closed; false if there is no room. */
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

  /** Whether a connection may be opened for sessions that nothing but their clients speak for. */
  boolean hasRoomForUncounted() {
    return connectionCount < maxConnections / 2;
  }

  /** The link has got its first connection, or lost its last one. */
  void setConnected(ServerLink link, boolean isConnected) {
    if (isConnected) {
      connectedLinks.add(link);
    } else {
      connectedLinks.remove(link);
    }
  }

  /**
   * Closes a connection to make room: the retired one with the fewest sessions, else one that is
   * kept for sessions that do not count. False if there is none; a sweep, in which many servers may
   * need a connection, then searches no further.
   */
  boolean closeLeastNeededConnection() {
    if (sweepFoundNoneToClose) {
      return false;
    }
    ServerConnection least = null;
    for (ServerLink link : connectedLinks) {
      least = link.choice().leastUsedRetired(least);
    }
    if (least == null) {
      least = connectionOfUncounted();
    }
    if (least != null) {
      least.close("connection limit reached");
    }
    sweepFoundNoneToClose = isSweeping && least == null;
    return least != null;
  }

  private ServerConnection connectionOfUncounted() {
    for (ServerLink link : connectedLinks) {
      ServerConnection connection = link.connectionOfUncounted();
      if (connection != null) {
        return connection;
      }
    }
    return null;
  }

  /** A set-up with that id is sent to a server. */
  void setUpSent(long id) {
    sentIds.add(id, front.now());
  }

  /** Whether a set-up with that id was sent to a server lately: it may have run there. */
  boolean hasSent(long id) {
    return sentIds.contains(id, front.now());
  }

  /** Numbers the connections, over all servers. */
  int nextConnectionNumber() {
    return ++lastConnectionNumber;
  }

  long nextTestId() {
    return ++lastTestId;
  }

  private ServerLink linkTo(BoxTable.Entry server) {
    return links.computeIfAbsent(server.id(), id -> new ServerLink(this, server));
  }

  /** Takes on an established session: what its server reports about it must be able to arrive. */
  void adopt(ClientSession clientSession) {
    linkTo(clientSession.session().box()).adopt(clientSession);
  }

  /** The server list has changed, for these servers alone or, if it is full, for any. */
  void discoveryUpdated(boolean full, List<BoxTable.ListedBox> rows) {
    if (full) {
      sweep();
      return;
    }
    for (BoxTable.ListedBox row : rows) {
      sweepServer(row.id());
      BoxTable.Entry server = front.sessionManager().boxes().get(row.id());
      if (server != null) {
        sweepServer(server.predecessorId());
      }
    }
  }

  private void sweepServer(long id) {
    ServerLink link = links.get(id);
    if (link != null) {
      sweep(link);
    }
  }

  void sweep() {
    isSweeping = true;
    for (ServerLink link : List.copyOf(links.values())) {
      sweep(link);
    }
    isSweeping = false;
    sweepFoundNoneToClose = false;
  }

  private void sweep(ServerLink link) {
    if (link.sweep(front.now())) {
      links.remove(link.server().id());
    }
  }

  @Override
  public Timer schedule(Span delay, Runnable task) {
    return front.schedule(delay, task);
  }

  @Override
  public void setUp(Session session, int attempt) {
    BoxTable.Entry server = session.box();
    // Two attempts must not be open at once. The end of the previous one may have been written
    // while its connection was being read, and then leaves only when that read is over, whereas
    // this attempt would leave at once on another connection. Nor must an attempt be sent for a
    // client whose end has arrived with what is being read now.
    front.defer(
        () -> {
          if (session.isAwaiting(attempt)) {
            linkTo(server).startAttempt(session, attempt);
          }
        });
  }

  @Override
  public void changeRung(Session session) {
    linkTo(session.box()).sendRung((ClientSession) session.viewer(), session.currentRung());
  }

  @Override
  public void cancelAtBox(Session session, BoxTable.Entry server, int attempt) {
    linkTo(server).cancel(session, attempt);
  }

  @Override
  public Environment.AttemptOutcome classifyTimeout(Session session, int attempt) {
    return linkTo(session.box()).timeoutOutcome(session, attempt);
  }

  @Override
  public void requestEndConfirmation(Session session, long serverId) {
    ServerLink link = links.get(serverId);
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
    // the platform has no messages between fronts; its settings permit none
  }

  @Override
  public void coreFailed(RuntimeException cause) {
    front.failed(cause);
  }

  int linkCount() {
    return links.size();
  }

  int connectionCount() {
    return connectionCount;
  }

  /** The number of servers and connections, for the log. */
  String summary() {
    return links.size() + " servers, " + connectionCount + " connections";
  }

  static <K, V> List<V> drain(Map<K, V> map) {
    List<V> values = new ArrayList<>(map.values());
    map.clear();
    return values;
  }
}
