package linengauge.platform;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import linengauge.Environment.AttemptOutcome;
import linengauge.Moment;
import linengauge.Span;
import linengauge.platform.LogEvent.Kind;
import linengauge.platform.codec.MalformedMessageException;
import linengauge.platform.codec.ServerLineCodec;
import linengauge.platform.codec.TextFormat;
import linengauge.platform.connection.CloseCause;
import linengauge.platform.connection.ConnectionHealth;
import linengauge.platform.connection.RecentAttemptIds;
import linengauge.platform.connection.UnconfirmedEnds;
import linengauge.session.Session;
import linengauge.session.Transport.Timer;

/** One connection to a media server, from being dialled until it has closed. */
final class ServerConnection implements ServerLineCodec.Handler {
  private static final int WRITE_BUFFER_BYTES = 256 * 1024;
  private static final int MAX_TRACKED_IDS = 2048;

  /**
   * Longer than any message about an attempt is under way: as long as the platform allows for the
   * release of a session that has ended.
   */
  private static final Span ID_RETENTION = Span.ofSeconds(8);

  /** The connection stays open this long for the server to confirm an end written on it. */
  private static final Span END_CONFIRMATION_TIME = Span.ofSeconds(1);

  /** An attempt that is open on the connection, or waits for it to be established. */
  private static final class OpenAttempt {
    private final Session session;
    private final int attempt;
    private boolean written;
    private Moment writtenAt;

    private OpenAttempt(Session session, int attempt) {
      this.session = session;
      this.attempt = attempt;
    }
  }

  private final ServerLink link;
  private final int number;
  private final String address;
  private final int missesBeforeDial;
  private final ServerLineCodec reader = new ServerLineCodec(this);
  private final Map<Long, OpenAttempt> openAttempts = new LinkedHashMap<>();
  private final RecentAttemptIds usedIds = new RecentAttemptIds(MAX_TRACKED_IDS, ID_RETENTION);

  /**
   * An attempt whose end was written here. For the end of an established session, {@link
   * #unconfirmedEnds} holds null in its place.
   */
  private record CancelledAttempt(Session session, int attempt) {}

  private final UnconfirmedEnds<CancelledAttempt> unconfirmedEnds =
      new UnconfirmedEnds<>(MAX_TRACKED_IDS, ID_RETENTION);

  /** Ends written before this moment have been sent again elsewhere. */
  private Moment endsResentUntil = Moment.DISTANT_PAST;

  /** Tests whose result is awaited, with their timers. */
  private final Map<Long, Timer> pendingTests = new LinkedHashMap<>();

  private Net.Connection socket;
  private boolean closed;

  /** The server does not read; the connection is closed once the current event is over. */
  private boolean closeScheduled;

  private final ConnectionHealth usage;

  ServerConnection(ServerLink link, String address, int missesBeforeDial) {
    this.link = link;
    this.number = link.links().nextConnectionNumber();
    this.address = address;
    this.missesBeforeDial = missesBeforeDial;
    this.usage = new ConnectionHealth(front().now());
  }

  private PlatformFront front() {
    return link.links().front();
  }

  boolean isUp() {
    return socket != null && !closed;
  }

  /** Whether the connection takes no further attempts. */
  boolean isRetired() {
    return usage.isRetired() || closed;
  }

  int openCount() {
    return openAttempts.size() + pendingTests.size();
  }

  /**
   * How often reports of the server may have been missed when this connection was dialled: the
   * server repeats those reports on it.
   */
  int missesBeforeDial() {
    return missesBeforeDial;
  }

  /** When that attempt was written here; null if it was not. */
  Moment writtenAt(Session session, int attempt) {
    OpenAttempt openAttempt = openAttempts.get(((ClientSession) session.viewer()).id());
    return openAttempt != null && openAttempt.session == session && openAttempt.attempt == attempt
        ? openAttempt.writtenAt
        : null;
  }

  /** How the connection is used. */
  ConnectionHealth usage() {
    return usage;
  }

  /** The address that was dialled. */
  String address() {
    return address;
  }

  /** The number of the connection in the log. */
  int number() {
    return number;
  }

  private void log(Kind kind, String reason) {
    front().events().logConnection(kind, link.server().id(), number, reason);
  }

  void logSilence() {
    log(Kind.CONNECTION_SILENT, usage.sessionCount() + " sessions");
  }

  void connect() {
    log(Kind.CONNECTION_DIALLED, address);
    front()
        .connect(
            address,
            Span.NONE,
            WRITE_BUFFER_BYTES,
            new Net.ConnectHandler() {
              @Override
              public void connected(Net.Connection connection) {
                if (closed) {
                  connection.close();
                } else {
                  ServerConnection.this.connected(connection);
                }
              }

              @Override
              public void failed(boolean refused, String reason) {
                onClosed(refused ? CloseCause.REFUSED : CloseCause.NOT_REACHED, reason);
              }
            });
  }

  private void connected(Net.Connection connection) {
    socket = connection;
    usage.onUp(front().now());
    log(Kind.CONNECTION_UP, "");
    connection.setHandlers(
        data -> front().handleEvent(() -> read(data)),
        () -> front().handleEvent(() -> onClosed(CloseCause.BY_SERVER, "by the server")));
    link.connectionUp(this);
    // What arrived while the connection was dialled is read first: a client may have left
    // meanwhile.
    front()
        .defer(
            () -> {
              for (Map.Entry<Long, OpenAttempt> entry : List.copyOf(openAttempts.entrySet())) {
                if (!entry.getValue().written) {
                  front().updateClock();
                  sendOnceCaughtUp(entry.getKey(), entry.getValue());
                }
              }
            });
    for (long id : List.copyOf(pendingTests.keySet())) {
      writeTest(id);
    }
  }

  private void read(byte[] data) {
    if (closed) {
      return;
    }
    link.dataReceived(this);
    usage.onReceived(front().now());
    try {
      boolean ended = reader.feed(data) > 0;
      usage.onRead(ended, reader.hasPartialLine(), front().now());
    } catch (MalformedMessageException e) {
      front()
          .warn(
              "malformed server message",
              TextFormat.formatServerId(link.server().id()),
              e.getMessage());
      close(e.getMessage());
    }
  }

  void write(byte[] message) {
    if (!isUp()) {
      return;
    }
    if (socket.isFull()) {
      if (!closeScheduled) {
        closeScheduled = true;
        front().defer(() -> close("the server does not read"));
      }
      return;
    }
    usage.onSent(front().now());
    socket.write(message);
  }

  /* ---- sending ---- */

  /**
   * Whether an attempt with that id was recently sent here: what still arrives for it could be
   * taken for an answer to another attempt.
   */
  boolean hasUsed(long id) {
    return usedIds.contains(id, front().now());
  }

  void startAttempt(Session session, int attempt) {
    OpenAttempt openAttempt = new OpenAttempt(session, attempt);
    openAttempts.put(((ClientSession) session.viewer()).id(), openAttempt);
    if (isUp()) {
      sendOnceCaughtUp(((ClientSession) session.viewer()).id(), openAttempt);
    }
  }

  /** The only place where attempts are sent: once the loop has read what may end them. */
  private void sendOnceCaughtUp(long id, OpenAttempt openAttempt) {
    front()
        .runOnceCaughtUp(
            () -> {
              if (openAttempts.get(id) == openAttempt && !openAttempt.written && isUp()) {
                writeAttempt(id, openAttempt);
              }
            });
  }

  private void writeAttempt(long id, OpenAttempt openAttempt) {
    if (!openAttempt.session.tryBeginSend(openAttempt.attempt)) {
      openAttempts.remove(id, openAttempt);
      front()
          .defer(
              () ->
                  openAttempt.session.setUpFailed(openAttempt.attempt, AttemptOutcome.NEVER_SENT));
      return;
    }
    openAttempt.written = true;
    openAttempt.writtenAt = front().now();
    usedIds.add(id, openAttempt.writtenAt);
    link.links().setUpSent(id);
    ClientSession clientSession = (ClientSession) openAttempt.session.viewer();
    clientSession.logAttemptSent(
        openAttempt.attempt, link.server(), number, openAttempt.session.remainingWait());
    write(
        ServerLineCodec.encodeSetUp(
            id,
            clientSession.packageName(),
            openAttempt.session.request().title(),
            Math.max(1, openAttempt.session.remainingWait().micros() / 1000),
            openAttempt.session.currentRung(),
            clientSession.description()));
  }

  void sendTest(long id) {
    Moment sentAt = front().now();
    pendingTests.put(
        id,
        front()
            .schedule(
                front().settings().dialTimeout(),
                () -> {
                  if (pendingTests.remove(id) != null) {
                    usage.onUnanswered(sentAt);
                    front()
                        .sessionManager()
                        .probeCompleted(link.server(), link.silenceOutcome(sentAt, null));
                  }
                }));
    if (isUp()) {
      writeTest(id);
    }
  }

  private void writeTest(long id) {
    unconfirmedEnds.onTestWritten(id);
    write(ServerLineCodec.encodeTest(id));
  }

  /** Sends a test whose answer confirms the ends written before it. */
  void sendConfirmationTest(long id) {
    writeTest(id);
  }

  /**
   * Tests whether the connection still carries anything: any message on it is a sign of life;
   * silence is judged by {@link ServerLink#sweep}. The answer also confirms the ends written before
   * the test.
   */
  void sendLivenessTest(long id) {
    usage.onTestSent(front().now());
    writeTest(id);
  }

  /** Sends the end of an established session; no attempt waits for its confirmation. */
  void sendEnd(long id) {
    sendEnd(id, null);
  }

  private void sendEnd(long id, CancelledAttempt cancelled) {
    write(ServerLineCodec.encodeEnd(id));
    unconfirmedEnds.onEndWritten(id, cancelled, front().now());
  }

  /**
   * Cancels an attempt that is open here; false if it is not. Counts it as unanswered if its time
   * has run out, unless its client gave it too little.
   */
  boolean cancel(Session session, int attempt) {
    long id = ((ClientSession) session.viewer()).id();
    OpenAttempt openAttempt = openAttempts.get(id);
    if (openAttempt == null || openAttempt.session != session || openAttempt.attempt != attempt) {
      return false;
    }
    openAttempts.remove(id);
    if (openAttempt.written) {
      ((ClientSession) session.viewer())
          .logAttempt(Kind.GIVE_UP_SENT, link.server(), attempt, number, "");
      sendEnd(id, new CancelledAttempt(session, attempt));
      if (session.remainingWait().equals(Span.NONE) && session.isAwaitedLongEnough()) {
        usage.onUnanswered(openAttempt.writtenAt);
      }
    }
    return true;
  }

  /* ---- receiving ---- */

  @Override
  public void onStarted(long id, byte[] description) {
    OpenAttempt openAttempt = openAttempts.get(id);
    if (openAttempt == null || !openAttempt.written) {
      return;
    }
    ClientSession clientSession = (ClientSession) openAttempt.session.viewer();
    clientSession.setAnswer(description);
    clientSession.logAttempt(Kind.ATTEMPT_ANSWERED, link.server(), openAttempt.attempt, number, "");
    front().updateClock();
    openAttempt.session.setUpSucceeded(openAttempt.attempt);
    // If the core no longer wants the session, it has been cancelled meanwhile, on this very
    // connection.
    if (openAttempts.remove(id, openAttempt)) {
      link.sessionEstablished(clientSession, this);
    }
  }

  @Override
  public void onEnded(long id, int cause, ServerLineCodec.Load load) {
    link.reported(load);
    OpenAttempt openAttempt = openAttempts.get(id);
    if (openAttempt == null || !openAttempt.written) {
      confirmEnd(unconfirmedEnds.confirm(id));
      link.sessionEnded(id, ServerLineCodec.sessionOutcome(cause), this);
      return;
    }
    openAttempts.remove(id);
    ((ClientSession) openAttempt.session.viewer())
        .logAttempt(
            Kind.ATTEMPT_ANSWERED, link.server(), openAttempt.attempt, number, "cause " + cause);
    openAttempt.session.setUpFailed(openAttempt.attempt, ServerLineCodec.setUpOutcome(cause));
  }

  /** Whether an end with that id has been written here and is not confirmed yet. */
  boolean awaitsConfirmation(long id) {
    return isUp() && unconfirmedEnds.isUnconfirmed(id);
  }

  /**
   * Returns, once each, the ends that the server has not read if a test on the connection was not
   * either.
   */
  List<Long> takeUnreadEnds(Moment now) {
    if (!usage.isTestOverdue(now)) {
      return List.of();
    }
    List<Long> unread = unconfirmedEnds.writtenSince(usage.lastReceivedAt().max(endsResentUntil));
    endsResentUntil = now;
    return unread;
  }

  boolean hasOpenAttempt(long id) {
    return openAttempts.containsKey(id);
  }

  @Override
  public void onEndConfirmed(long id) {
    confirmEnd(unconfirmedEnds.confirm(id));
  }

  private void confirmEnd(CancelledAttempt cancelled) {
    if (cancelled != null) {
      ((ClientSession) cancelled.session.viewer())
          .logAttempt(Kind.END_CONFIRMED, link.server(), cancelled.attempt, number, "");
      cancelled.session.endConfirmed(cancelled.attempt);
    }
  }

  @Override
  public void onTestAnswered(long id, boolean passed, ServerLineCodec.Load load) {
    link.reported(load);
    unconfirmedEnds.confirmByTest(id).forEach(this::confirmEnd);
    Timer timer = pendingTests.remove(id);
    if (timer != null) {
      timer.cancel();
      front().sessionManager().probeCompleted(link.server(), passed);
    }
  }

  @Override
  public void onShareDelivered(long id, double share) {
    Session session = link.establishedSession(id);
    if (session != null) {
      session.deliveredShareReported(share);
    }
  }

  @Override
  public void onRungApplied(long id, int rung) {
    Session session = link.establishedSession(id);
    if (session != null) {
      session.rungReported(rung);
    }
  }

  @Override
  public void onLoadsReported(long id, double linkAsked, double uplinkAsked) {
    Session session = link.establishedSession(id);
    if (session != null) {
      session.loadsReported(linkAsked, uplinkAsked);
    }
  }

  /* ---- closing ---- */

  void sweep(Moment now, Span idleLimit) {
    int pending =
        openCount() + unconfirmedEnds.writtenSince(now.minus(END_CONFIRMATION_TIME)).size();
    switch (usage.verdict(pending, isUp() ? idleLimit : Span.NONE, now)) {
      case CLOSE_BROKEN -> close("incomplete line");
      case CLOSE_IDLE -> close(usage.isRetired() ? CloseCause.BY_FRONT : CloseCause.IDLE, "idle");
      default -> {}
    }
  }

  void close(String reason) {
    close(CloseCause.BY_FRONT, reason);
  }

  /** Whether nothing is open on the connection, and no established session was set up on it. */
  boolean isSpare() {
    return isUp() && openCount() == 0 && usage.sessionCount() == 0;
  }

  /** Closes a connection on which nothing that the server sends can be missed. */
  void closeIdle(String reason) {
    close(CloseCause.IDLE, reason);
  }

  private void close(CloseCause cause, String reason) {
    if (!closed) {
      if (socket != null) {
        endOpenAttempts();
        socket.close();
      }
      onClosed(cause, reason);
    }
  }

  /**
   * Writes the ends of open attempts, in order behind their set-ups: one that was answered
   * meanwhile would be a session without a client.
   */
  private void endOpenAttempts() {
    openAttempts.forEach(
        (id, openAttempt) -> {
          if (openAttempt.written && !socket.isFull()) {
            socket.write(ServerLineCodec.encodeEnd(id));
          }
        });
  }

  private void onClosed(CloseCause cause, String reason) {
    if (closed) {
      return;
    }
    closed = true;
    log(Kind.CONNECTION_CLOSED, reason + ", " + openAttempts.size() + " attempts out");
    // An end written this recently may be lost with the connection.
    unconfirmedEnds
        .writtenSince(front().now().minus(END_CONFIRMATION_TIME))
        .forEach(link::sendEndAfterClose);
    for (OpenAttempt openAttempt : ServerLinks.drain(openAttempts)) {
      if (openAttempt.written) {
        link.sendEndAfterClose(((ClientSession) openAttempt.session.viewer()).id());
      }
      AttemptOutcome outcome =
          openAttempt.written
                  && link.silenceOutcome(openAttempt.writtenAt, this) == AttemptOutcome.UNHEARD
              ? AttemptOutcome.UNHEARD
              : AttemptOutcome.BROKEN;
      openAttempt.session.setUpFailed(
          openAttempt.attempt, openAttempt.written ? outcome : AttemptOutcome.NOT_REACHED);
    }
    for (Timer timer : ServerLinks.drain(pendingTests)) {
      timer.cancel();
      front().sessionManager().probeCompleted(link.server(), false);
    }
    link.connectionClosed(this, cause);
  }
}
