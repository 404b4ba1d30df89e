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
import linengauge.platform.codec.BadMessage;
import linengauge.platform.codec.SetUpForm;
import linengauge.platform.codec.ViewerMessages;
import linengauge.platform.codec.ViewerMessages.Message;
import linengauge.platform.keep.IdleConnection;
import linengauge.platform.keep.ReceiveQueue;

/**
 * One connection from viewers. What comes is read in two steps. Messages are taken apart as they
 * come: an end, a test or a release heard is acted on at once. Set-ups are queued, and begun in
 * turns once the loop has read what everybody sent. Guards against a set-up that is begun though
 * its viewer has left: the end lies behind what is still to be read. It could hurt a viewer by the
 * rest of the loop's turn.
 */
final class ClientConnection implements ViewerMessages.Heard {
  /** What one connection may take apart, and begin, in one turn of the loop. */
  private static final Span MAX_BATCH_TIME = Span.ofMillis(10);

  private static final Span NEXT_ITERATION_DELAY = Span.ofMillis(1);

  /** Messages taken apart between two looks at the time: each takes some microseconds. */
  private static final int MESSAGES_PER_CLOCK_UPDATE = 16;

  /**
   * Bytes of sessions handed over that wait to be begun; beyond, nothing more is taken from the
   * connection.
   */
  private static final int MAX_HAND_OVER_BYTES = 128 * 1024;

  /** A release told so lately may not have been read by a viewer that closes the connection. */
  private static final Span MAX_RELEASE_READ_DELAY = Span.ofMillis(500);

  private static final int MAX_SENT_RELEASES = 512;

  /** A set-up that waits to be begun, and when it may have come. */
  private record QueuedRequest(Message message, Moment earliestArrival) {}

  private record SentRelease(boolean interrupted, Moment sentAt) {}

  private final ClientListener listener;
  private final Net.Connection socket;
  private final ViewerMessages reader = new ViewerMessages(this);

  /** Viewings whose answer is owed here; each leaves with its answer. */
  private final Set<ClientSession> unanswered = new LinkedHashSet<>();

  /**
   * Set-ups by id that wait to be begun; emptied by the next turns, by their ends and by the close.
   */
  private final Map<Long, QueuedRequest> queuedRequests = new LinkedHashMap<>();

  /**
   * Sessions handed over that wait to be begun: they belong to no connection, and are begun though
   * this one closes.
   */
  private final Map<Long, QueuedRequest> queuedHandOvers = new LinkedHashMap<>();

  /** Releases written here and not known to be heard; bounded, the oldest goes; emptied by time. */
  private final Map<Long, SentRelease> sentReleases = new LinkedHashMap<>();

  private IdleConnection idleState;
  private boolean usedByClient;
  private boolean closed;

  /** Messages that have come wait for a turn in which they are taken apart. */
  private boolean parseScheduled;

  /** What is queued has a turn coming. */
  private boolean startScheduled;

  private boolean paused;

  /**
   * When what is taken apart, or begun, may have come, and what follows the message that has begun.
   */
  private Moment earliestArrival = Moment.DISTANT_PAST;

  private Moment nextEarliestArrival;
  private final ReceiveQueue received;
  private int queuedHandOverBytes;

  /**
   * Bytes of set-ups that wait here, begun or not: what the front must keep of what it was sent.
   */
  private int queuedBytes;

  ClientConnection(ClientListener listener, Net.Connection socket, Moment earliestConnect) {
    this.listener = listener;
    this.socket = socket;
    this.received = new ReceiveQueue(earliestConnect, front().now());
    socket.setHandlers(
        data -> front().handleEvent(() -> read(data)),
        () -> front().handleEvent(() -> onClosed("by the client")));
  }

  private PlatformFront front() {
    return listener.front();
  }

  void setIdleState(IdleConnection state) {
    idleState = state;
  }

  boolean isOpen() {
    return !closed;
  }

  /**
   * A viewing has been answered on it, or handed over by it; whoever only tests the front hears of
   * no viewing.
   */
  boolean isUsedByClient() {
    return usedByClient;
  }

  /* ---- what comes is taken apart ---- */

  private void read(byte[] data) {
    if (closed) {
      return;
    }
    Moment now = front().now();
    received.come(data, now.minus(front().maxReadDelay()), now);
    if (!parseScheduled) {
      parse();
    } else if (received.isFull(reader.unread())) {
      pause();
    }
  }

  /**
   * Takes apart what has come, for one turn's share of time; the rest in turns of its own. Guards
   * against a client that sends at full speed and makes all others wait.
   */
  private void parse() {
    if (closed) {
      return;
    }
    try {
      Moment batchEnd = front().now().plus(MAX_BATCH_TIME);
      boolean messageEnded = false;
      boolean hasMore = true;
      for (int i = 1;
          hasMore
              && !closed
              && front().now().before(batchEnd)
              && queuedHandOverBytes <= MAX_HAND_OVER_BYTES;
          i++) {
        hasMore = parseMessage();
        messageEnded |= hasMore;
        hasMore = hasMore || feedNextChunk();
        if (i % MESSAGES_PER_CLOCK_UPDATE == 0) {
          front().updateClock();
        }
      }
      idleState.read(messageEnded, !hasMore && reader.isMidMessage(), front().now());
      if (hasMore && !closed) {
        parseScheduled = true;
        if (received.isFull(reader.unread())) {
          pause();
        }
        // By a timer: what is merely put off runs before the loop reads from anybody else.
        front()
            .schedule(
                NEXT_ITERATION_DELAY,
                () -> {
                  parseScheduled = false;
                  parse();
                });
      }
      resume();
    } catch (BadMessage e) {
      listener.warn("unreadable client", socket.peer(), e.getMessage());
      close(e.getMessage());
    }
    scheduleStart();
  }

  private boolean parseMessage() throws BadMessage {
    Message message = reader.frame();
    if (message == null) {
      return false;
    }
    if (message.isSetUp()) {
      enqueue(message);
    } else if (message.isHeard()) {
      sentReleases.remove(message.id());
    } else {
      reader.read(message);
    }
    if (nextEarliestArrival != null) {
      earliestArrival = nextEarliestArrival;
      nextEarliestArrival = null;
    }
    return true;
  }

  private boolean feedNextChunk() {
    ReceiveQueue.Piece chunk = received.next();
    if (chunk == null) {
      return false;
    }
    if (reader.isMidMessage()) {
      nextEarliestArrival = chunk.came(); // of what begins in it, not of the message that it ends
    } else {
      earliestArrival = chunk.came();
    }
    reader.take(chunk.data());
    return true;
  }

  private void enqueue(Message message) {
    boolean isHandOver = message.isHandOver();
    if (queuedRequests.containsKey(message.id()) && !isHandOver) {
      close("two set-ups of one id");
    } else if (isHandOver) {
      if (queuedHandOvers.putIfAbsent(
              message.id(), new QueuedRequest(message.kept(), earliestArrival))
          == null) {
        queuedHandOverBytes += message.length();
        listener.requestQueued(message.id(), this);
      }
    } else if (queuedBytes + message.length() > ClientListener.MAX_QUEUED_BYTES_PER_CONNECTION
        || !listener.hasRoomFor(message.length())) {
      // Not by reading nothing more: whoever has sent too much would not be seen to leave.
      write(ViewerMessages.blocked(message.id(), listener.recordRejection().micros() / 1000));
    } else {
      queuedRequests.put(message.id(), new QueuedRequest(message.kept(), earliestArrival));
      addQueuedBytes(message.length());
      listener.requestQueued(message.id(), this);
    }
  }

  private void addQueuedBytes(int bytes) {
    queuedBytes += bytes;
    listener.addQueuedBytes(bytes);
  }

  private void pause() {
    if (!paused) {
      paused = true;
      received.paused();
      socket.pause();
    }
  }

  private void resume() {
    if (paused && !received.isFull(reader.unread())) {
      paused = false;
      received.resumed(front().now());
      socket.resume();
    }
  }

  /* ---- what is queued is begun ---- */

  private void scheduleStart() {
    if (!startScheduled && (!queuedHandOvers.isEmpty() || canStartRequest())) {
      startScheduled = true;
      front().defer(this::startQueued);
    }
  }

  /** A set-up is begun once all that has come with it is taken apart: its end may stand there. */
  private boolean canStartRequest() {
    return !queuedRequests.isEmpty() && !closed && !parseScheduled && !paused;
  }

  /**
   * Begins what is queued, for one turn's share of time: first what plays already, as the rules
   * count it.
   */
  private void startQueued() {
    startScheduled = false;
    Moment batchEnd = front().now().plus(MAX_BATCH_TIME);
    try {
      while (front().now().before(batchEnd) && (!queuedHandOvers.isEmpty() || canStartRequest())) {
        Map<Long, QueuedRequest> queue =
            queuedHandOvers.isEmpty() ? queuedRequests : queuedHandOvers;
        start(queue, queue.keySet().iterator().next());
      }
    } catch (BadMessage e) {
      listener.warn("unreadable client", socket.peer(), e.getMessage());
      close(e.getMessage());
    }
    if (!startScheduled && (!queuedHandOvers.isEmpty() || canStartRequest())) {
      startScheduled = true;
      front().schedule(NEXT_ITERATION_DELAY, this::startQueued);
    }
  }

  private void start(Map<Long, QueuedRequest> queue, long id) throws BadMessage {
    QueuedRequest queued = dequeue(queue, id);
    earliestArrival = queued.earliestArrival();
    front().updateClock();
    reader.read(queued.message());
  }

  private QueuedRequest dequeue(Map<Long, QueuedRequest> queue, long id) {
    QueuedRequest queued = queue.remove(id);
    if (queue == queuedRequests) {
      addQueuedBytes(-queued.message().length());
    } else {
      queuedHandOverBytes -= queued.message().length();
    }
    listener.requestDequeued(id, this);
    return queued;
  }

  /**
   * The end of a session has come while its set-up waits here: one handed over is begun now,
   * another never.
   */
  void endedBeforeStart(long id) {
    if (queuedRequests.containsKey(id)) {
      dequeue(queuedRequests, id);
    }
    if (queuedHandOvers.containsKey(id)) {
      Moment previous = earliestArrival;
      try {
        start(queuedHandOvers, id);
      } catch (BadMessage e) {
        listener.warn("unreadable client", socket.peer(), e.getMessage());
      }
      earliestArrival = previous;
    }
  }

  /**
   * The front ends: whatever still waits for its turn is begun now, so that it is answered, or told
   * that it is over, before the process ends. It could hurt by one long turn, the last but one.
   */
  void startAllQueued() {
    for (Map<Long, QueuedRequest> queue : List.of(queuedHandOvers, queuedRequests)) {
      while (!queue.isEmpty()) {
        try {
          start(queue, queue.keySet().iterator().next());
        } catch (BadMessage e) {
          listener.warn("unreadable client", socket.peer(), e.getMessage());
        }
      }
    }
  }

  /** How long what is being begun now may have lain unread. */
  Span maxQueueingDelay() {
    return front().now().since(earliestArrival);
  }

  /* ---- its end ---- */

  /** Closes it; what waits on it is answered by the close. */
  void close(String reason) {
    if (!closed) {
      socket.close();
      onClosed("by the front: " + reason);
    }
  }

  private void onClosed(String reason) {
    if (closed) {
      return;
    }
    closed = true;
    logClose(reason);
    listener.connectionClosed(this, idleState);
    for (long id : List.copyOf(queuedRequests.keySet())) {
      dequeue(queuedRequests, id);
    }
    // What has come before the close is still heard: ends, and what is handed over, belong to no
    // connection.
    try {
      boolean hasMore = true;
      while (hasMore) {
        Message message = reader.frame();
        if (message != null && message.isSetUp() && message.isHandOver()) {
          enqueue(message);
        } else if (message != null && !message.isSetUp()) {
          reader.read(message);
        }
        hasMore = message != null || feedNextChunk();
      }
    } catch (BadMessage e) {
      // what follows cannot be read
    }
    scheduleStart();
    List<ClientSession> sessions = new ArrayList<>(unanswered);
    if (!sessions.isEmpty()) {
      sessions.forEach(ClientSession::flushLog);
    }
    unanswered.clear();
    sessions.forEach(
        session -> {
          addQueuedBytes(-session.descriptionLength());
          listener.abandon(session);
        });
    // Their viewer may not have read them: told again elsewhere, where that is still of use.
    Moment oldestUnread = front().now().minus(MAX_RELEASE_READ_DELAY);
    sentReleases.forEach(
        (id, release) -> {
          if (!release.sentAt().before(oldestUnread)) {
            listener.sendRelease(id, release.interrupted(), null);
          }
        });
    sentReleases.clear();
  }

  /** Logs every close by the front, and those under which something was open. */
  private void logClose(String reason) {
    if (!unanswered.isEmpty() || !queuedRequests.isEmpty() || reason.startsWith("by the front")) {
      String openRequests =
          ", " + unanswered.size() + " open, " + queuedRequests.size() + " not begun";
      front()
          .events()
          .logFront(Kind.CLIENT_CONNECTION_CLOSED, socket.peer() + " " + reason + openRequests);
    }
  }

  /* ---- what is owed here ---- */

  void addUnanswered(ClientSession session) {
    unanswered.add(session);
    idleState.asked();
    addQueuedBytes(session.descriptionLength());
  }

  /** Its viewing plays from here on. */
  void setAsOriginOf(ClientSession session) {
    session.origin(this);
  }

  void sendAnswer(ClientSession session, byte[] message) {
    removeUnanswered(session);
    if (session.answerDeadline().before(front().now())) {
      session.logLateAnswer(front().now().since(session.answerDeadline()));
    }
    write(message);
    markUsedByClient();
  }

  void removeUnanswered(ClientSession session) {
    if (unanswered.remove(session)) {
      idleState.settled(front().now());
      addQueuedBytes(-session.descriptionLength());
    }
  }

  /** Tells that what played is over; false where it cannot be told here. */
  boolean sendRelease(long id, boolean interrupted) {
    if (!write(ViewerMessages.over(id, interrupted))) {
      return false;
    }
    Moment now = front().now();
    Iterator<SentRelease> releases = sentReleases.values().iterator();
    while (releases.hasNext()
        && (releases.next().sentAt().plus(MAX_RELEASE_READ_DELAY).before(now)
            || sentReleases.size() >= MAX_SENT_RELEASES)) {
      releases.remove();
    }
    sentReleases.put(id, new SentRelease(interrupted, now));
    return true;
  }

  /** Writes, or closes where whoever is there does not read; false where nothing was written. */
  boolean write(byte[] message) {
    if (closed) {
      return false;
    }
    if (socket.isFull()) {
      front().defer(() -> close("the client does not read"));
      return false;
    }
    socket.write(message);
    return true;
  }

  /** Nothing is open on it and nothing that has come waits here. */
  boolean isIdle() {
    return unanswered.isEmpty()
        && queuedRequests.isEmpty()
        && queuedHandOvers.isEmpty()
        && !parseScheduled
        && !paused;
  }

  /* ---- what its messages say ---- */

  @Override
  public void setUp(long id, SetUpForm form) {
    if (!closed || form.at() != null) {
      listener.handleRequest(this, id, form);
    }
  }

  @Override
  public void ended(long id, int cause) {
    listener.endedByClient(id);
  }

  @Override
  public void test(long id) {
    if (write(ViewerMessages.tested(id))) {
      idleState.proven();
    }
  }

  @Override
  public void unfit(long id, String reason) {
    listener.warn("unfit set-up", socket.peer(), reason);
    write(ViewerMessages.unfit(id));
  }

  /** It is viewers': it has been answered, or a viewing that plays was handed over by it. */
  void markUsedByClient() {
    if (!closed) {
      idleState.proven();
      usedByClient = true;
      listener.sendPendingReleases(this);
    }
  }
}
