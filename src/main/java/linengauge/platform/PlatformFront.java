package linengauge.platform;

import java.util.ArrayDeque;
import java.util.function.Consumer;
import linengauge.Moment;
import linengauge.Policy;
import linengauge.Span;
import linengauge.briefing.Briefing;
import linengauge.platform.connection.DescriptorBudget;
import linengauge.platform.connection.EventLoopLag;
import linengauge.session.Carrier.Wake;
import linengauge.session.Desk;

/**
 * A front in the operators' platform (docs/protocol/platform.md): viewers, boxes, the journal
 * service and the core, all of them carried by one {@link Net}. Whatever comes from outside enters
 * by {@link #onEvent}, which tells the core the time.
 */
public final class PlatformFront {
  private static final Span SWEEP = Span.ofMillis(200);
  private static final Span TICK = Span.ofMillis(20);

  /** A turn of the loop so long is told. */
  private static final Span STOOD_STILL = Span.ofMillis(200);

  private static final Span STILL_COMING = Span.ofMillis(750);
  private static final Span LONGEST_STOP = Span.ofSeconds(3);
  private static final Span BEFORE_KILL = Span.ofMillis(500);

  /**
   * For its last words to leave, at the most; with what follows less than is left until it could be
   * killed.
   */
  private static final Span LAST_WORDS = Span.ofMillis(90);

  /**
   * For peers to read them. Guards against the process's end over bytes that peers have sent
   * meanwhile: the system resets such a connection, and what the peer has not read is lost with it.
   */
  private static final Span AFTER_LAST_WORD = Span.ofMillis(60);

  /** What the platform allows for two words that cross. */
  private static final Span CROSSING = Span.ofMillis(50);

  /** What may run in one turn of what waits, and the next one. */
  private static final Span TURN = Span.ofMillis(10);

  private static final Span NEXT_TURN = Span.ofMillis(1);
  private static final Span COME_BACK = Span.ofMillis(600);
  private static final int MOST_VIEWINGS = 8000;

  /** Where it tells what operators should know. */
  public interface Told {
    /** Something that may come by the thousand: what kind, of whom, and more. */
    void warn(String kind, Object about, String detail);

    /** Something that comes seldom. */
    void info(String line);

    /** Something that happened to a request, a connection or a server; may come by the thousand. */
    default void event(LogEvent event) {}

    /** It has ended: in order (empty, null), or by a failure, which is named. */
    void over(String failed, RuntimeException cause);
  }

  /** How full its tables are. */
  public record Figures(
      int viewings,
      int ids,
      int viewersConnections,
      int endsUntold,
      int boxes,
      int boxesLinked,
      int boxConnections,
      int titles) {}

  private final Configuration posting;
  private final Net net;
  private final Told told;
  private final EventLoopLag lag;
  private final EventLog events;
  private final ServerLinks boxes;
  private final ClientListener door;
  private final Desk desk;
  private final DiscoveryWatch journal;

  /** What waits until the loop has read what may have come meanwhile; the next turns empty it. */
  private final ArrayDeque<Unread> unread = new ArrayDeque<>();

  private Moment now;
  private boolean stopping;

  /** Turns in which something waited there. */
  private long turns;

  private boolean turnComes;

  private record Unread(long turn, Moment since, Runnable deed) {}

  /** To be made and used where the net's calls run. */
  public PlatformFront(Configuration posting, Net net, Told told) {
    this.posting = posting;
    this.net = net;
    this.told = told;
    this.now = net.now();
    this.lag = new EventLoopLag(CROSSING, now);
    this.events = new EventLog(this::now, told::event);
    DescriptorBudget places = DescriptorBudget.of(posting.descriptors());
    this.boxes = new ServerLinks(this, places.servers());
    this.door = new ClientListener(this, places.clients());
    // No idle bound; and no stand-still of the core's own noticing: each request says how long it
    // may have lain.
    var bounds =
        new Desk.Bounds(
            MOST_VIEWINGS,
            Span.NONE,
            COME_BACK.orLess(posting.briefing().headend().permits().longestAdvice()),
            Span.ofMillis(500),
            Span.ofSeconds(3600),
            Policy.ANSWER_MARGIN);
    this.desk =
        new Desk(
            posting.briefing().headend(),
            bounds,
            posting.seed(),
            Long.toString(now.micros(), 36),
            boxes);
    this.journal = new DiscoveryWatch(this, posting.journal(), posting.seed());
  }

  /** Begins to serve; the outcome is told once: null, or why it cannot. */
  public void start(Consumer<String> outcome) {
    desk.clock(now);
    posting.known().forEach(journal::known);
    journal.connect();
    net.every(
        TICK,
        () -> {
          now = net.now();
          Span since = lag.tick(now);
          door.beat(now);
          if (STOOD_STILL.under(since)) {
            log("stood still", since.micros() / 1000 + " ms", "");
          }
        });
    net.every(
        SWEEP,
        () ->
            onEvent(
                () -> {
                  door.look(now);
                  boxes.look();
                  journal.look(now);
                }));
    net.listen(
        posting.listen(),
        ClientListener.MOST_UNREAD,
        new Net.Listener() {
          @Override
          public void listens(String failed) {
            if (failed == null) {
              told.info(
                  "serving on "
                      + posting.listen()
                      + " with "
                      + desk.boxes().size()
                      + " boxes known");
            }
            outcome.accept(
                failed == null ? null : "cannot listen on " + posting.listen() + ": " + failed);
          }

          @Override
          public void arrived(Net.Connection connection) {
            onEvent(() -> door.arrived(connection));
          }

          @Override
          public void notTaken(String why) {
            log("connection not taken", null, why);
          }
        });
  }

  /** Anything that comes from outside: the core is told the time, then it runs. */
  void onEvent(Runnable deed) {
    tick();
    deed.run();
  }

  /**
   * The time anew, for each message of a piece that was read: the process may have been held up in
   * its midst, and a yes must not leave after the viewer's patience.
   */
  void tick() {
    now = net.now();
    desk.clock(now);
  }

  /** Tries a connection; what comes of it enters as an event of its own. */
  void connect(String address, int mostUnread, Net.Tried then) {
    net.connect(
        address,
        mostUnread,
        new Net.Tried() {
          @Override
          public void up(Net.Connection connection) {
            onEvent(() -> then.up(connection));
          }

          @Override
          public void failed(boolean refused, String why) {
            onEvent(() -> then.failed(refused, why));
          }
        });
  }

  /** Runs it as an event of its own, once the present one is over. */
  void later(Runnable deed) {
    net.later(() -> onEvent(deed));
  }

  /** Runs it once, after the span and never within the present event. */
  Wake after(Span span, Runnable deed) {
    return net.after(span, () -> onEvent(deed));
  }

  /** How long what is read now may have lain unread. */
  Span unread() {
    return lag.maxReadDelay(now);
  }

  /** What came longer ago than words may cross may still lie unread. */
  boolean isBehind() {
    return lag.isBehind(net.now());
  }

  /**
   * Runs it once the loop has read what may have come longer ago than words may cross: at once
   * where it keeps up, else some turns later. Guards against acting, in or after a long turn, on
   * what a word that lies unread has undone: a set-up whose viewer has left, a connection closed
   * under a request. What waits runs in shares of a turn, so that it makes no long turn itself. It
   * could hurt by those turns where nothing had come; where they are long, one reading after 50 ms
   * must do.
   */
  void whenRead(Runnable deed) {
    if (unread.isEmpty() && !isBehind()) {
      deed.run();
    } else {
      unread.add(new Unread(turns, net.now(), deed));
      turnForUnread();
    }
  }

  private void turnForUnread() {
    if (!turnComes) {
      turnComes = true;
      net.after(
          NEXT_TURN,
          this::runUnread); // by a timer: what is merely put off runs before the loop reads
    }
  }

  private void runUnread() {
    turnComes = false;
    turns++;
    Moment begun = net.now();
    while (!unread.isEmpty()
        && net.now().before(begun.plus(TURN))
        && (unread.peek().turn() + EventLoopLag.TURNS_TO_READ <= turns
            || !begun.before(unread.peek().since().plus(CROSSING)))) {
      onEvent(unread.poll().deed());
    }
    if (!unread.isEmpty()) {
      turnForUnread();
    }
  }

  EventLog events() {
    return events;
  }

  EventLoopLag lag() {
    return lag;
  }

  Moment now() {
    return now;
  }

  Desk desk() {
    return desk;
  }

  ServerLinks boxes() {
    return boxes;
  }

  ClientListener door() {
    return door;
  }

  Briefing briefing() {
    return posting.briefing();
  }

  void log(String kind, Object about, String detail) {
    told.warn(kind, about, detail);
  }

  void failed(RuntimeException cause) {
    told.over("the module failed: " + cause, cause);
  }

  public Figures figures() {
    return new Figures(
        desk.viewings(),
        door.viewings(),
        door.connections(),
        door.untold(),
        desk.boxes().size(),
        boxes.linked(),
        boxes.connections(),
        desk.titlesHeld());
  }

  /** A new configuration: of it the address of the journal service counts. */
  public void postedAnew(Configuration anew) {
    onEvent(() -> journal.moved(anew.journal()));
  }

  /**
   * The end in order: what comes is taken for as long as it may still come, every answer is given,
   * and what plays is kept playing until shortly before the process could be killed.
   */
  public void stop() {
    if (stopping) {
      return;
    }
    stopping = true;
    tick();
    told.info(
        "told to stop: " + door.viewings() + " viewings, " + door.connections() + " connections");
    // Killed no sooner than the longest patience (3 s at the most) and 0.7 s from now
    // (docs/protocol/platform.md); where that is
    // short it may come before this end: all is answered by then, and what plays is handed to the
    // next life.
    Span end =
        briefing().longestPatience().orLess(LONGEST_STOP).orMore(STILL_COMING).plus(BEFORE_KILL);
    // The listener stays: closing it would close every connection that came by it, with what is
    // owed there.
    after(STILL_COMING, desk::stopTaking);
    after(
        end,
        () -> {
          told.info(
              "ending: "
                  + door.viewings()
                  + " viewings, "
                  + door.connections()
                  + " connections, "
                  + boxes.figures()
                  + ", longest turn "
                  + lag.longestTurn().micros() / 1000
                  + " ms");
          door.logWaiting();
          door.beginAll();
          desk.endAll();
          told.info(
              "ended: "
                  + door.viewings()
                  + " viewings, "
                  + door.connections()
                  + " connections, "
                  + door.untold()
                  + " ends untold");
          net.written(LAST_WORDS, () -> net.after(AFTER_LAST_WORD, () -> told.over("", null)));
        });
  }
}
