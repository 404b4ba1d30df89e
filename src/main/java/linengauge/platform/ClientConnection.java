package linengauge.platform;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import linengauge.Moment;
import linengauge.Span;
import linengauge.platform.LogEvent.Kind;
import linengauge.platform.codec.ClientMessageCodec;
import linengauge.platform.codec.ClientMessageCodec.Message;
import linengauge.platform.codec.MalformedMessageException;
import linengauge.platform.codec.SetUpRequest;
import linengauge.platform.connection.IdleTracker;
import linengauge.platform.connection.ReceiveQueue;

/**
 * One connection from viewers. What comes is read in two steps. Messages are taken apart as they
 * come: an end, a test or a release heard is acted on at once. Set-ups are queued, and begun in
 * turns once the loop has read what everybody sent. Guards against a set-up that is begun though
 * its viewer has left: the end lies behind what is still to be read. It could hurt a viewer by the
 * rest of the loop's turn.
 */
final class ClientConnection implements ClientMessageCodec.Handler {
  /** What one connection may take apart, and begin, in one turn of the loop. */
  private static final Span TURN = Span.ofMillis(10);

  private static final Span NEXT_TURN = Span.ofMillis(1);

  /** Messages taken apart between two looks at the time: each takes some microseconds. */
  private static final int A_LOOK_AT_THE_TIME = 16;

  /**
   * Bytes of sessions handed over that wait to be begun; beyond, nothing more is taken from the
   * connection.
   */
  private static final int MOST_HANDED_OVER = 128 * 1024;

  /** A release told so lately may not have been read by a viewer that closes the connection. */
  private static final Span MAY_BE_UNREAD = Span.ofMillis(500);

  private static final int MOST_TOLD = 512;

  /** A set-up that waits to be begun, and when it may have come. */
  private record Queued(Message message, Moment came) {}

  private record Told(boolean cut, Moment at) {}

  private final ClientListener listener;
  private final Net.Connection socket;
  private final ClientMessageCodec reader = new ClientMessageCodec(this);

  /** Viewings whose answer is owed here; each leaves with its answer. */
  private final Set<ClientSession> waiting = new LinkedHashSet<>();

  /**
   * Set-ups by id that wait to be begun; emptied by the next turns, by their ends and by the close.
   */
  private final Map<Long, Queued> setUps = new LinkedHashMap<>();

  /**
   * Sessions handed over that wait to be begun: they belong to no connection, and are begun though
   * this one closes.
   */
  private final Map<Long, Queued> handOvers = new LinkedHashMap<>();

  /** Releases written here and not known to be heard; bounded, the oldest goes; emptied by time. */
  private final Map<Long, Told> told = new LinkedHashMap<>();

  private IdleTracker idle;
  private boolean viewers;
  private boolean closed;

  /** Messages that have come wait for a turn in which they are taken apart. */
  private boolean goesOn;

  /** What is queued has a turn coming. */
  private boolean begins;

  private boolean paused;

  /**
   * When what is taken apart, or begun, may have come, and what follows the message that has begun.
   */
  private Moment lain = Moment.DISTANT_PAST;

  private Moment nextLain;
  private final ReceiveQueue received;
  private int handedOver;

  /**
   * Bytes of set-ups that wait here, begun or not: what the front must keep of what it was sent.
   */
  private int keeps;

  ClientConnection(ClientListener listener, Net.Connection socket, Moment cameAfter) {
    this.listener = listener;
    this.socket = socket;
    this.received = new ReceiveQueue(cameAfter, front().now());
    socket.hears(
        data -> front().onEvent(() -> read(data)),
        () -> front().onEvent(() -> gone("by the client")));
  }

  private PlatformFront front() {
    return listener.front();
  }

  void idle(IdleTracker given) {
    idle = given;
  }

  boolean isOpen() {
    return !closed;
  }

  /**
   * A viewing has been answered on it, or handed over by it; whoever only tests the front hears of
   * no viewing.
   */
  boolean isViewers() {
    return viewers;
  }

  /* ---- what comes is taken apart ---- */

  private void read(byte[] data) {
    if (closed) {
      return;
    }
    Moment now = front().now();
    received.add(data, now.minus(front().unread()), now);
    if (!goesOn) {
      takeApart();
    } else if (received.isFull(reader.unreadBytes())) {
      pause();
    }
  }

  /**
   * Takes apart what has come, for one turn's share of time; the rest in turns of its own. Guards
   * against a client that sends at full speed and makes all others wait.
   */
  private void takeApart() {
    if (closed) {
      return;
    }
    try {
      Moment until = front().now().plus(TURN);
      boolean ended = false;
      boolean more = true;
      for (int i = 1;
          more && !closed && front().now().before(until) && handedOver <= MOST_HANDED_OVER;
          i++) {
        more = takesMessage();
        ended |= more;
        more = more || takesNext();
        if (i % A_LOOK_AT_THE_TIME == 0) {
          front().tick();
        }
      }
      idle.onRead(ended, !more && reader.hasPartialMessage(), front().now());
      if (more && !closed) {
        goesOn = true;
        if (received.isFull(reader.unreadBytes())) {
          pause();
        }
        // By a timer: what is merely put off runs before the loop reads from anybody else.
        front()
            .after(
                NEXT_TURN,
                () -> {
                  goesOn = false;
                  takeApart();
                });
      }
      resume();
    } catch (MalformedMessageException e) {
      listener.log("unreadable client", socket.peer(), e.getMessage());
      close(e.getMessage());
    }
    beginLater();
  }

  private boolean takesMessage() throws MalformedMessageException {
    Message m = reader.nextMessage();
    if (m == null) {
      return false;
    }
    if (m.isSetUp()) {
      queue(m);
    } else if (m.isReleaseAcknowledgement()) {
      told.remove(m.id());
    } else {
      reader.decode(m);
    }
    if (nextLain != null) {
      lain = nextLain;
      nextLain = null;
    }
    return true;
  }

  private boolean takesNext() {
    ReceiveQueue.Chunk piece = received.poll();
    if (piece == null) {
      return false;
    }
    if (reader.hasPartialMessage()) {
      nextLain = piece.earliestArrival(); // of what begins in it, not of the message that it ends
    } else {
      lain = piece.earliestArrival();
    }
    reader.append(piece.data());
    return true;
  }

  private void queue(Message m) {
    boolean handOver = m.isHandOver();
    if (setUps.containsKey(m.id()) && !handOver) {
      close("two set-ups of one id");
    } else if (handOver) {
      if (handOvers.putIfAbsent(m.id(), new Queued(m.copy(), lain)) == null) {
        handedOver += m.length();
        listener.queued(m.id(), this);
      }
    } else if (keeps + m.length() > ClientListener.MOST_KEPT || !listener.mayKeep(m.length())) {
      // Not by reading nothing more: whoever has sent too much would not be seen to leave.
      write(ClientMessageCodec.encodeRejected(m.id(), listener.turnedAway().micros() / 1000));
    } else {
      setUps.put(m.id(), new Queued(m.copy(), lain));
      keep(m.length());
      listener.queued(m.id(), this);
    }
  }

  private void keep(int more) {
    keeps += more;
    listener.keeps(more);
  }

  private void pause() {
    if (!paused) {
      paused = true;
      received.onPaused();
      socket.pause();
    }
  }

  private void resume() {
    if (paused && !received.isFull(reader.unreadBytes())) {
      paused = false;
      received.onResumed(front().now());
      socket.resume();
    }
  }

  /* ---- what is queued is begun ---- */

  private void beginLater() {
    if (!begins && (!handOvers.isEmpty() || mayBegin())) {
      begins = true;
      front().later(this::begin);
    }
  }

  /** A set-up is begun once all that has come with it is taken apart: its end may stand there. */
  private boolean mayBegin() {
    return !setUps.isEmpty() && !closed && !goesOn && !paused;
  }

  /**
   * Begins what is queued, for one turn's share of time: first what plays already, as the rules
   * count it.
   */
  private void begin() {
    begins = false;
    Moment until = front().now().plus(TURN);
    try {
      while (front().now().before(until) && (!handOvers.isEmpty() || mayBegin())) {
        Map<Long, Queued> from = handOvers.isEmpty() ? setUps : handOvers;
        begin(from, from.keySet().iterator().next());
      }
    } catch (MalformedMessageException e) {
      listener.log("unreadable client", socket.peer(), e.getMessage());
      close(e.getMessage());
    }
    if (!begins && (!handOvers.isEmpty() || mayBegin())) {
      begins = true;
      front().after(NEXT_TURN, this::begin);
    }
  }

  private void begin(Map<Long, Queued> from, long id) throws MalformedMessageException {
    Queued q = unqueue(from, id);
    lain = q.came();
    front().tick();
    reader.decode(q.message());
  }

  private Queued unqueue(Map<Long, Queued> from, long id) {
    Queued q = from.remove(id);
    if (from == setUps) {
      keep(-q.message().length());
    } else {
      handedOver -= q.message().length();
    }
    listener.unqueued(id, this);
    return q;
  }

  /**
   * The end of a session has come while its set-up waits here: one handed over is begun now,
   * another never.
   */
  void endedUnbegun(long id) {
    if (setUps.containsKey(id)) {
      unqueue(setUps, id);
    }
    if (handOvers.containsKey(id)) {
      Moment was = lain;
      try {
        begin(handOvers, id);
      } catch (MalformedMessageException e) {
        listener.log("unreadable client", socket.peer(), e.getMessage());
      }
      lain = was;
    }
  }

  /**
   * The front ends: whatever still waits for its turn is begun now, so that it is answered, or told
   * that it is over, before the process ends. It could hurt by one long turn, the last but one.
   */
  void beginAll() {
    for (Map<Long, Queued> from : List.of(handOvers, setUps)) {
      while (!from.isEmpty()) {
        try {
          begin(from, from.keySet().iterator().next());
        } catch (MalformedMessageException e) {
          listener.log("unreadable client", socket.peer(), e.getMessage());
        }
      }
    }
  }

  /** How long what is being begun now may have lain unread. */
  Span lain() {
    return front().now().since(lain);
  }

  /* ---- its end ---- */

  /** Closes it; what waits on it is answered by the close. */
  void close(String why) {
    if (!closed) {
      socket.close();
      gone("by the front: " + why);
    }
  }

  private void gone(String why) {
    if (closed) {
      return;
    }
    closed = true;
    logClose(why);
    listener.left(this, idle);
    for (long id : List.copyOf(setUps.keySet())) {
      unqueue(setUps, id);
    }
    // What has come before the close is still heard: ends, and what is handed over, belong to no
    // connection.
    try {
      boolean more = true;
      while (more) {
        Message m = reader.nextMessage();
        if (m != null && m.isSetUp() && m.isHandOver()) {
          queue(m);
        } else if (m != null && !m.isSetUp()) {
          reader.decode(m);
        }
        more = m != null || takesNext();
      }
    } catch (MalformedMessageException e) {
      // what follows cannot be read
    }
    beginLater();
    List<ClientSession> sessions = new ArrayList<>(waiting);
    if (!sessions.isEmpty()) {
      sessions.forEach(ClientSession::logHeld);
    }
    waiting.clear();
    sessions.forEach(
        s -> {
          keep(-s.length());
          listener.giveUp(s);
        });
    // Their viewer may not have read them: told again elsewhere, where that is still of use.
    Moment unread = front().now().minus(MAY_BE_UNREAD);
    told.forEach(
        (id, t) -> {
          if (!t.at().before(unread)) {
            listener.release(id, t.cut(), null);
          }
        });
    told.clear();
  }

  /** Logs every close by the front, and those under which something was open. */
  private void logClose(String why) {
    if (!waiting.isEmpty() || !setUps.isEmpty() || why.startsWith("by the front")) {
      String open = ", " + waiting.size() + " open, " + setUps.size() + " not begun";
      front().events().ofFront(Kind.CLIENT_CONNECTION_CLOSED, socket.peer() + " " + why + open);
    }
  }

  /* ---- what is owed here ---- */

  void waits(ClientSession session) {
    waiting.add(session);
    idle.onRequestOpened();
    keep(session.length());
  }

  /** Its viewing plays from here on. */
  void home(ClientSession session) {
    session.home(this);
  }

  void answer(ClientSession session, byte[] message) {
    unwait(session);
    if (session.answerBy().before(front().now())) {
      session.answeredLate(front().now().since(session.answerBy()));
    }
    write(message);
    viewers();
  }

  void unwait(ClientSession session) {
    if (waiting.remove(session)) {
      idle.onRequestSettled(front().now());
      keep(-session.length());
    }
  }

  /** Tells that what played is over; false where it cannot be told here. */
  boolean release(long id, boolean cut) {
    if (!write(ClientMessageCodec.encodeOver(id, cut))) {
      return false;
    }
    Moment now = front().now();
    Iterator<Told> oldest = told.values().iterator();
    while (oldest.hasNext()
        && (oldest.next().at().plus(MAY_BE_UNREAD).before(now) || told.size() >= MOST_TOLD)) {
      oldest.remove();
    }
    told.put(id, new Told(cut, now));
    return true;
  }

  /** Writes, or closes where whoever is there does not read; false where nothing was written. */
  boolean write(byte[] message) {
    if (closed) {
      return false;
    }
    if (socket.isFull()) {
      front().later(() -> close("the client does not read"));
      return false;
    }
    socket.write(message);
    return true;
  }

  /** Nothing is open on it and nothing that has come waits here. */
  boolean rests() {
    return waiting.isEmpty() && setUps.isEmpty() && handOvers.isEmpty() && !goesOn && !paused;
  }

  /* ---- what its messages say ---- */

  @Override
  public void onSetUp(long id, SetUpRequest form) {
    if (!closed || form.serverName() != null) {
      listener.setUp(this, id, form);
    }
  }

  @Override
  public void onEnded(long id, int cause) {
    listener.endedByViewer(id);
  }

  @Override
  public void onTest(long id) {
    if (write(ClientMessageCodec.encodeTestAnswer(id))) {
      idle.markTrusted();
    }
  }

  @Override
  public void onUnusable(long id, String why) {
    listener.log("unfit set-up", socket.peer(), why);
    write(ClientMessageCodec.encodeUnusable(id));
  }

  /** It is viewers': it has been answered, or a viewing that plays was handed over by it. */
  void viewers() {
    if (!closed) {
      idle.markTrusted();
      viewers = true;
      listener.viewers(this);
    }
  }
}
