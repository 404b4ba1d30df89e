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
import linengauge.platform.RequestQueue.QueuedRequest;
import linengauge.platform.codec.ClientMessageCodec;
import linengauge.platform.codec.ClientMessageCodec.Message;
import linengauge.platform.codec.MalformedMessageException;
import linengauge.platform.codec.SetUpRequest;
import linengauge.platform.connection.IdleTracker;
import linengauge.platform.connection.ReceiveQueue;

/**
 * One connection from clients. Received data is handled in two steps. Messages are parsed as they
 * arrive: an end, a test or the confirmation of a release takes effect at once. Requests are
 * queued, and started in batches once the loop has read what all clients have sent. Otherwise a
 * request could be started although its client has left, as its end is among the data still to be
 * read. A request waits for the rest of the loop iteration because of this.
 */
final class ClientConnection implements ClientMessageCodec.Handler {
  /**
   * Time that one connection may use for parsing, and for starting requests, in one loop iteration.
   */
  private static final Span MAX_BATCH_TIME = Span.ofMillis(10);

  private static final Span NEXT_ITERATION_DELAY = Span.ofMillis(1);

  /** Messages parsed between two updates of the clock; each takes a few microseconds. */
  private static final int MESSAGES_PER_CLOCK_UPDATE = 16;

  /** A client that closes the connection may not have read a release sent this recently. */
  private static final Span MAX_RELEASE_READ_DELAY = Span.ofMillis(500);

  private static final int MAX_SENT_RELEASES = 512;

  /** What a connection has been used for so far, which tells who may read a release on it. */
  enum Use {
    /** Nothing, or only tests of the front. */
    NONE,
    /**
     * Its requests have been refused, or nothing speaks for the sessions that were handed over by
     * it: its client may view nothing.
     */
    UNPROVEN,
    /** A session was established by it, or handed over and counts. */
    VIEWER
  }

  private record SentRelease(boolean interrupted, Moment sentAt) {}

  private final ClientListener listener;
  private final Net.Connection socket;
  private final ClientOutput output;
  private final ClientMessageCodec reader = new ClientMessageCodec(this);

  /** Sessions whose answer is owed on this connection; each is removed with its answer. */
  private final Set<ClientSession> unanswered = new LinkedHashSet<>();

  /**
   * Releases written on this connection and not confirmed, by the session's id; bounded, the oldest
   * is dropped; removed after some time.
   */
  private final Map<Long, SentRelease> sentReleases = new LinkedHashMap<>();

  private IdleTracker idleState;
  private Use use = Use.NONE;
  private boolean closed;

  /** The client does not read; the connection is aborted once the current event is over. */
  private boolean abortScheduled;

  /** Received messages wait for a loop iteration in which they are parsed. */
  private boolean parseScheduled;

  /** A loop iteration in which queued requests are started is scheduled. */
  private boolean startScheduled;

  private boolean paused;

  /**
   * The earliest moment at which the message that is being parsed or started may have arrived; the
   * next field holds the same for the messages behind an incomplete one.
   */
  private Moment earliestArrival = Moment.DISTANT_PAST;

  private Moment nextEarliestArrival;
  private final ReceiveQueue received;
  private final RequestQueue queue;

  ClientConnection(ClientListener listener, Net.Connection socket, Moment earliestConnect) {
    this.listener = listener;
    this.socket = socket;
    this.output = new ClientOutput(socket);
    this.queue = new RequestQueue(listener.requestHeap().openAccount());
    this.received = new ReceiveQueue(earliestConnect, front().now());
    socket.setHandlers(
        data -> front().handleEvent(() -> read(data)),
        () -> front().handleEvent(() -> onClosed("by the client")));
  }

  private PlatformFront front() {
    return listener.front();
  }

  void setIdleState(IdleTracker state) {
    idleState = state;
  }

  boolean isOpen() {
    return !closed;
  }

  Use use() {
    return use;
  }

  /* ---- parsing ---- */

  private void read(byte[] data) {
    if (closed) {
      return;
    }
    Moment now = front().now();
    received.add(data, now.minus(front().maxReadDelay()), now);
    updateUnparsedBytes();
    if (received.isFull(reader.unreadBytes()) && queue.isOverShare()) {
      // The library reads up to 64 KB at once, which many connections together cannot hold.
      close("memory limit of clients reached");
    } else if (!parseScheduled) {
      parse();
    } else if (mustPause()) {
      pause();
    }
  }

  private boolean isReadable() {
    return !closed && !abortScheduled;
  }

  private boolean mustPause() {
    return received.isFull(reader.unreadBytes()) || queue.isOverShare();
  }

  private void updateUnparsedBytes() {
    queue.setUnparsedBytes(received.queuedBytes() + reader.unreadBytes());
  }

  /**
   * Parses received messages, for one loop iteration's share of time; the rest is parsed in later
   * iterations. Otherwise a client that sends at full speed would make all others wait.
   */
  private void parse() {
    if (closed) {
      return;
    }
    output.beginBatch();
    try {
      Moment batchEnd = front().now().plus(MAX_BATCH_TIME);
      boolean messageEnded = false;
      boolean hasMore = true;
      for (int i = 1;
          hasMore && isReadable() && front().now().isBefore(batchEnd) && queue.mayAddHandOver();
          i++) {
        hasMore = parseMessage();
        messageEnded |= hasMore;
        hasMore = hasMore || feedNextChunk();
        if (i % MESSAGES_PER_CLOCK_UPDATE == 0) {
          front().updateClock();
        }
      }
      reader.compact();
      updateUnparsedBytes();
      boolean isPartial = !hasMore && reader.hasPartialMessage();
      idleState.onRead(messageEnded, isPartial, front().now());
      if (isPartial && queue.isOverShare()) {
        close("memory limit of clients reached");
      }
      if (hasMore && !closed) {
        scheduleParse();
      }
      resume();
    } catch (MalformedMessageException e) {
      listener.warn("malformed client message", socket.peer(), e.getMessage());
      close(e.getMessage());
    } finally {
      output.endBatch();
    }
    scheduleStart();
  }

  /** By a timer: a deferred task runs before the loop reads from any other connection. */
  private void scheduleParse() {
    parseScheduled = true;
    if (mustPause()) {
      pause();
    }
    front()
        .schedule(
            NEXT_ITERATION_DELAY,
            () -> {
              parseScheduled = false;
              parse();
            });
  }

  private boolean parseMessage() throws MalformedMessageException {
    Message message = reader.nextMessage();
    if (message == null) {
      return false;
    }
    if (message.isSetUp()) {
      enqueue(message);
    } else if (message.isReleaseAcknowledgement()) {
      sentReleases.remove(message.id());
    } else {
      reader.decode(message);
    }
    if (nextEarliestArrival != null) {
      earliestArrival = nextEarliestArrival;
      nextEarliestArrival = null;
    }
    return true;
  }

  private boolean feedNextChunk() {
    ReceiveQueue.Chunk chunk = received.poll();
    if (chunk == null) {
      return false;
    }
    if (reader.hasPartialMessage()) {
      // For messages that begin in this chunk, not for the one that it completes.
      nextEarliestArrival = chunk.earliestArrival();
    } else {
      earliestArrival = chunk.earliestArrival();
    }
    reader.append(chunk.data());
    return true;
  }

  private void enqueue(Message message) {
    if (message.isHandOver()) {
      if (queue.addHandOver(message, earliestArrival)) {
        listener.requestQueued(message.id(), this);
      }
    } else if (queue.hasRequest(message.id())) {
      close("two requests with one id");
    } else if (queue.addRequest(message, earliestArrival)) {
      listener.requestQueued(message.id(), this);
    } else {
      // The request is rejected, and reading goes on: if it stopped, the front would not notice
      // when a client that has sent too much leaves.
      reject(message.id());
    }
  }

  /** Rejects a request for want of room. */
  void reject(long id) {
    write(ClientMessageCodec.encodeRejected(id, listener.recordRejection().micros() / 1000));
  }

  /** Whether there is room for an open request with a description of that length. */
  boolean hasRoomForRequest(int descriptionLength) {
    return queue.hasRoomForOpen(descriptionLength);
  }

  private void pause() {
    if (!paused) {
      paused = true;
      received.onPaused();
      socket.pause();
    }
  }

  private void resume() {
    // Once all is parsed it reads on in any case: only then are its requests started.
    if (paused && (!parseScheduled || !mustPause())) {
      paused = false;
      received.onResumed(front().now());
      socket.resume();
    }
  }

  /* ---- starting requests ---- */

  private void scheduleStart() {
    if (!startScheduled && (queue.hasHandOvers() || canStartRequest())) {
      startScheduled = true;
      front().defer(this::startQueued);
    }
  }

  /** A request is started once all that arrived with it is parsed, as its end may be there. */
  private boolean canStartRequest() {
    return queue.requestCount() > 0 && !closed && !parseScheduled && !paused;
  }

  /**
   * Starts queued requests, for one loop iteration's share of time: handed-over sessions first, as
   * they are established already and the rules count them as such.
   */
  private void startQueued() {
    startScheduled = false;
    output.beginBatch();
    Moment batchEnd = front().now().plus(MAX_BATCH_TIME);
    try {
      while (front().now().isBefore(batchEnd) && (queue.hasHandOvers() || canStartRequest())) {
        start(queue.takeNext());
      }
    } catch (MalformedMessageException e) {
      listener.warn("malformed client message", socket.peer(), e.getMessage());
      close(e.getMessage());
    } finally {
      output.endBatch();
    }
    if (!startScheduled && (queue.hasHandOvers() || canStartRequest())) {
      startScheduled = true;
      front().schedule(NEXT_ITERATION_DELAY, this::startQueued);
    }
  }

  private void start(QueuedRequest queued) throws MalformedMessageException {
    listener.requestDequeued(queued.message().id(), this);
    earliestArrival = queued.earliestArrival();
    front().updateClock();
    reader.decode(queued.message());
  }

  /**
   * The end of a session has arrived while its request waits here: a handed-over session is started
   * now, any other never.
   */
  void endedBeforeStart(long id) {
    if (queue.takeRequest(id) != null) {
      listener.requestDequeued(id, this);
    }
    QueuedRequest handOver = queue.takeHandOver(id);
    if (handOver != null) {
      Moment previous = earliestArrival;
      try {
        start(handOver);
      } catch (MalformedMessageException e) {
        listener.warn("malformed client message", socket.peer(), e.getMessage());
      }
      earliestArrival = previous;
    }
  }

  /**
   * The front stops: starts all requests that still wait, so that they are answered or released
   * before the process exits. This causes one long loop iteration, the last but one.
   */
  void startAllQueued() {
    while (!queue.isEmpty()) {
      try {
        start(queue.takeNext());
      } catch (MalformedMessageException e) {
        listener.warn("malformed client message", socket.peer(), e.getMessage());
      }
    }
  }

  /** Upper bound of the time that the request being started may have waited unread. */
  Span maxQueueingDelay() {
    return front().now().since(earliestArrival);
  }

  /* ---- closing ---- */

  /** Closes the connection; the requests that wait on it get no other answer than the close. */
  void close(String reason) {
    if (!closed) {
      output.close();
      onClosed("by the front: " + reason);
    }
  }

  /** Closes a connection whose client does not read: what waits for it would only use heap. */
  private void abort() {
    if (!closed) {
      output.abort();
      onClosed("by the front: the client does not read");
    }
  }

  private void onClosed(String reason) {
    if (closed) {
      return;
    }
    closed = true;
    logClose(reason);
    listener.connectionClosed(this, idleState);
    for (long id : queue.dropRequests()) {
      listener.requestDequeued(id, this);
    }
    // What arrived before the close still takes effect: ends and handed-over sessions belong to no
    // connection.
    try {
      boolean hasMore = true;
      while (hasMore) {
        Message message = reader.nextMessage();
        if (message != null && message.isSetUp() && message.isHandOver()) {
          enqueue(message);
        } else if (message != null && !message.isSetUp()) {
          reader.decode(message);
        }
        hasMore = message != null || feedNextChunk();
      }
    } catch (MalformedMessageException e) {
      // the data that follows cannot be parsed
    }
    scheduleStart();
    List<ClientSession> sessions = new ArrayList<>(unanswered);
    if (!sessions.isEmpty()) {
      sessions.forEach(ClientSession::flushLog);
    }
    unanswered.clear();
    sessions.forEach(
        session -> {
          queue.requestSettled(session.descriptionLength());
          listener.abandon(session);
        });
    // The client may not have read these releases: they are sent again on another connection,
    // where that is still of use.
    Moment oldestUnread = front().now().minus(MAX_RELEASE_READ_DELAY);
    sentReleases.forEach(
        (id, release) -> {
          if (!release.sentAt().isBefore(oldestUnread)) {
            listener.sendRelease(id, release.interrupted(), null);
          }
        });
    sentReleases.clear();
    queue.closeAccount();
  }

  /** Logs every close by the front, and each one that leaves requests unanswered. */
  private void logClose(String reason) {
    if (!unanswered.isEmpty() || queue.requestCount() > 0 || reason.startsWith("by the front")) {
      String openRequests =
          ", " + unanswered.size() + " open, " + queue.requestCount() + " not started";
      front()
          .events()
          .logFront(Kind.CLIENT_CONNECTION_CLOSED, socket.peer() + " " + reason + openRequests);
    }
  }

  /* ---- answers and releases ---- */

  void addUnanswered(ClientSession session) {
    unanswered.add(session);
    idleState.onRequestOpened();
    queue.requestOpened(session.descriptionLength());
  }

  /** Makes this the connection on which the session's release is sent. */
  void setAsOriginOf(ClientSession session) {
    session.setOrigin(this);
  }

  /** Sends the answer, which shows what the connection is used for. */
  void sendAnswer(ClientSession session, byte[] message, Use shownUse) {
    removeUnanswered(session);
    if (session.answerDeadline().isBefore(front().now())) {
      session.logLateAnswer(front().now().since(session.answerDeadline()));
    }
    write(message);
    markUsed(shownUse);
  }

  void removeUnanswered(ClientSession session) {
    if (unanswered.remove(session)) {
      idleState.onRequestSettled(front().now());
      queue.requestSettled(session.descriptionLength());
    }
  }

  /** Sends the release of an established session; false if it cannot be sent here. */
  boolean sendRelease(long id, boolean interrupted) {
    if (!write(ClientMessageCodec.encodeOver(id, interrupted))) {
      return false;
    }
    Moment now = front().now();
    expireSentReleases(now);
    if (sentReleases.size() >= MAX_SENT_RELEASES) {
      sentReleases.remove(sentReleases.keySet().iterator().next());
    }
    sentReleases.put(id, new SentRelease(interrupted, now));
    return true;
  }

  /** Forgets the releases that the client has had time to read. */
  void expireSentReleases(Moment now) {
    Iterator<SentRelease> releases = sentReleases.values().iterator();
    while (releases.hasNext()
        && releases.next().sentAt().plus(MAX_RELEASE_READ_DELAY).isBefore(now)) {
      releases.remove();
    }
  }

  /**
   * Writes the message; false if nothing was written. The connection is closed if its client does
   * not read.
   */
  boolean write(byte[] message) {
    if (closed) {
      return false;
    }
    if (!output.write(message)) {
      if (!abortScheduled) {
        abortScheduled = true;
        front().defer(this::abort);
      }
      return false;
    }
    return true;
  }

  /** Whether nothing is open on the connection and nothing received waits here. */
  boolean isIdle() {
    return unanswered.isEmpty() && queue.isEmpty() && !parseScheduled && !paused;
  }

  /* ---- received messages ---- */

  @Override
  public void onSetUp(long id, SetUpRequest form) {
    if (!closed || form.serverName() != null) {
      listener.handleRequest(this, id, form);
    }
  }

  @Override
  public void onEnded(long id, int cause) {
    listener.endedByClient(id);
  }

  @Override
  public void onTest(long id) {
    if (write(ClientMessageCodec.encodeTestAnswer(id))) {
      idleState.markTrusted();
    }
  }

  @Override
  public void onUnusable(long id, String reason) {
    listener.warn("invalid request", socket.peer(), reason);
    write(ClientMessageCodec.encodeUnusable(id));
  }

  /** A session that counts has been established or handed over by this connection. */
  void markUsedByViewer() {
    markUsed(Use.VIEWER);
  }

  /** A session was handed over by this connection that nothing but its client speaks for. */
  void markUsedByUnknown() {
    markUsed(Use.UNPROVEN);
  }

  private void markUsed(Use shownUse) {
    if (closed) {
      return;
    }
    idleState.markTrusted();
    boolean isFirst = use == Use.NONE;
    if (use != Use.VIEWER) {
      use = shownUse;
    }
    if (isFirst || use == Use.VIEWER) {
      listener.sendPendingReleases(this);
    }
  }
}
