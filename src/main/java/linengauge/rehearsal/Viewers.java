package linengauge.rehearsal;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import linengauge.Moment;
import linengauge.Span;
import linengauge.platform.Net;
import linengauge.standin.PlatformViewers;

/**
 * The viewers of a fleet in virtual time (docs/protocol/platform.md, "Viewers"): who asks whom, and
 * what became of it.
 */
final class Viewers {
  private static final int SET_UP = 1;
  private static final int ANSWER = 9;
  private static final int END = 12;
  private static final int TEST = 52;
  private static final int TESTED = 53;

  /** So much after the patience an answer earns nothing and is still one. */
  private static final Span LATE = Span.ofMillis(500);

  /** A set-up that crosses the close of its connection within this is sent again, once. */
  private static final Span CROSSES = Span.ofMillis(50);

  private static final Span RESTS = Span.ofSeconds(4);
  private static final int KEPT = 3;
  private static final int TRIES = 3;

  /** One connection from viewers to a front. */
  private final class Line {
    private final int front;
    private Pipe.End end;
    private byte[] part = new byte[0];
    private final List<byte[]> first = new ArrayList<>();
    private final List<Watch> waiting = new ArrayList<>();
    private Moment usedAt = clock.now();
    private boolean closed;

    private Line(int front) {
      this.front = front;
    }

    private void open() {
      day.roads()
          .connect(
              "v" + front,
              host,
              day.address(front),
              new Net.ConnectHandler() {
                @Override
                public void connected(Net.Connection connection) {
                  end = (Pipe.End) connection;
                  end.setHandlers(Line.this::heard, Line.this::gone);
                  first.forEach(end::write);
                  first.clear();
                }

                @Override
                public void failed(boolean refused, String why) {
                  closed = true;
                  lines.get(front).remove(Line.this);
                  for (Watch w : List.copyOf(waiting)) {
                    w.notReached();
                  }
                }
              });
    }

    private void write(byte[] message) {
      usedAt = clock.now();
      if (end == null) {
        first.add(message);
      } else {
        end.write(message);
      }
    }

    private void gone() {
      closed = true;
      lines.get(front).remove(this);
      for (Watch w : List.copyOf(waiting)) {
        w.broke();
      }
      waiting.clear();
    }

    private void heard(byte[] data) {
      byte[] all = java.util.Arrays.copyOf(part, part.length + data.length);
      System.arraycopy(data, 0, all, part.length, data.length);
      int at = 0;
      while (all.length - at >= 2
          && all.length - at - 2 >= (ByteBuffer.wrap(all).getShort(at) & 0xffff)) {
        int length = ByteBuffer.wrap(all).getShort(at) & 0xffff;
        said(ByteBuffer.wrap(all, at + 2, length));
        at += 2 + length;
      }
      part = java.util.Arrays.copyOfRange(all, at, all.length);
    }

    private void said(ByteBuffer m) {
      int type = m.get() & 0xff;
      String tag = String.format("%016x", m.getLong());
      int cause = -1;
      long advice = 0;
      while (m.hasRemaining()) {
        int code = m.get() & 0xff;
        byte[] value = new byte[m.getShort() & 0xffff];
        m.get(value);
        cause = code == 61 ? value[0] & 0xff : cause;
        advice = code == 45 ? Long.parseLong(new String(value, StandardCharsets.US_ASCII)) : advice;
      }
      Watch w = watches.get(tag);
      if (type == TESTED) {
        day.tookIn(front);
      } else if (w != null && type == ANSWER) {
        w.answered("plays", 0);
      } else if (w != null && type == END) {
        w.ended(cause, advice);
      }
    }
  }

  /** One viewing wanted by one viewer, from its first request on. */
  final class Watch {
    private final String pack;
    private final String title;
    private final int home;
    private final int copies;
    private final double worth;
    private final double rateFactor;
    private final Moment wantedUntil;
    private String tag;
    private int front;
    private int tries;
    private int tuneIns;
    private Line line;
    private boolean answered;
    private boolean plays;
    private Moment askedAt;
    private byte[] setUp;
    private boolean sentAgain;
    private boolean done;
    private BoxModel at;

    private Watch(int front, int titleNumber, boolean dear, Span length) {
      this.front = front;
      this.title = String.format("%016x", 0x7f00L + titleNumber);
      this.home = titleNumber * 7 % day.cells();
      this.copies = 3 + titleNumber % 4;
      this.pack = dear ? day.names().dear() : day.names().cheap();
      this.worth = dear ? 3 : 1;
      this.rateFactor = dear ? 1.4 : 0.7;
      this.wantedUntil = clock.now().plus(length);
    }

    String tag() {
      return tag;
    }

    String title() {
      return title;
    }

    String pack() {
      return pack;
    }

    double worth() {
      return worth;
    }

    double rateFactor() {
      return rateFactor;
    }

    int front() {
      return front;
    }

    /** What is left of it. */
    Span length() {
      return wantedUntil.since(clock.now()).orMore(Span.ofMillis(1));
    }

    /** As the record names it: front, life of it, and the viewing. */
    String viewing() {
      return front + "-" + day.life(front) + "-" + tag;
    }

    int tunedIn(int by) {
      front = by;
      return tuneIns++;
    }

    void plays(BoxModel box) {
      at = box;
    }

    private String figures(String more) {
      return "home:" + home + ";copies:" + copies + ";top:4;viewer:" + tag + more;
    }

    private void ask() {
      if (done || !clock.now().before(wantedUntil)) {
        done = true;
        return;
      }
      tries++;
      if (tag != null) {
        watches.remove(tag);
      }
      tag = String.format("%016x", ++number);
      watches.put(tag, this);
      tuneIns = 0;
      answered = false;
      plays = false;
      at = null;
      front = day.frontFor(front, chance);
      line = line(front);
      line.waiting.add(this);
      sawAsked();
      askedAt = clock.now();
      sentAgain = false;
      setUp = setUpMessage();
      line.write(setUp);
      String mine = tag;
      clock.after(FleetDay.PATIENCE.plus(LATE), () -> giveUp(mine));
    }

    private void sawAsked() {
      ledger.saw(
          "asked",
          "ask",
          tag,
          "front",
          front,
          "key",
          tag,
          "title",
          title,
          "package",
          pack,
          "ceiling",
          4,
          "patienceMs",
          FleetDay.PATIENCE.micros() / 1000);
      ledger.count("asked", 1);
    }

    private byte[] setUpMessage() {
      return PlatformViewers.message(
          SET_UP,
          Long.parseUnsignedLong(tag, 16),
          33,
          pack,
          35,
          FleetDay.PATIENCE.micros() / 1000,
          41,
          title,
          43,
          figures(tries > 1 ? ";again:1" : ""),
          63,
          "m=audio of " + tag);
    }

    /** Its patience is over: what it asked for by that tag is ended, and it asks again. */
    private void giveUp(String mine) {
      if (!answered && mine.equals(tag) && !done) {
        end("gave-up");
        line.write(
            PlatformViewers.message(END, Long.parseUnsignedLong(mine, 16), 61, new byte[] {16}));
        again(Span.ofMillis(200));
      }
    }

    private void end(String what) {
      answered = true;
      line.waiting.remove(this);
      ledger.saw(what, "ask", tag, "front", front);
      ledger.count(what, 1);
    }

    private void answered(String how, long advice) {
      if (answered && !plays) {
        return; // it had given up
      }
      ledger.saw("answered", "ask", tag, "front", front, "how", how, "viewing", viewing());
      if (answered) {
        return; // a second answer: the record shows it
      }
      answered = true;
      line.waiting.remove(this);
      ledger.count(how, 1);
      if (how.equals("plays")) {
        plays = true;
        if (at == null) {
          owed(); // it has been cut meanwhile
        }
      } else {
        again(how.equals("blocked") ? Span.ofMillis(Math.max(50, advice)) : Span.ofMillis(200));
      }
    }

    /** Its front says that it is over, or refuses it. */
    private void ended(int cause, long advice) {
      if (!answered) {
        answered(cause == 34 || cause == 42 || cause == 102 ? "blocked" : "aborted", advice);
      } else if (plays) {
        plays = false;
        if (cause != 16) {
          again(Span.ofMillis(500));
        } else {
          forget();
        }
      }
    }

    private void again(Span after) {
      if (tries < TRIES) {
        clock.after(after, this::ask);
      }
    }

    /**
     * The connection on which it waited broke: the front has died, or has closed it. What crosses a
     * close is sent again.
     */
    private void broke() {
      if (!answered && !sentAgain && clock.now().since(askedAt).under(CROSSES) && day.isUp(front)) {
        sentAgain = true;
        line = new Line(front);
        lines.get(front).add(line);
        line.waiting.add(this);
        line.open();
        line.write(setUp);
      } else if (!answered) {
        end("broke");
        again(Span.ofMillis(300));
      }
    }

    private void notReached() {
      if (!answered) {
        answered = true;
        line.waiting.remove(this);
        ledger.saw("not-reached", "ask", tag, "front", front);
        again(Span.ofMillis(300));
      }
    }

    /** It has come to its end at a box; where it played there, its front has to tell it. */
    void over(BoxModel by) {
      if (at != by) {
        return; // set up there once, and given up by its front
      }
      at = null;
      done = true;
      owed();
    }

    /** It was cut at a box. */
    void cut(BoxModel by) {
      if (at == by) {
        at = null;
        if (plays) {
          owed();
        }
      }
    }

    private void owed() {
      ledger.saw("viewing-over", "viewing", viewing());
      String mine = tag;
      int lifeThen = day.life(front);
      clock.after(
          Span.ofSeconds(8.5),
          () -> {
            if (plays && mine.equals(tag) && day.life(front) == lifeThen) {
              ledger.count("left standing", 1);
              ledger.saw("left-standing", "viewing", viewing());
              forget();
            }
          });
    }

    private void forget() {
      plays = false;
      done = true;
      watches.remove(tag);
    }

    /** Handed over to the front that has started anew, by the set-up that says where it plays. */
    private void handOver(Line by) {
      by.write(
          PlatformViewers.message(
              SET_UP,
              Long.parseUnsignedLong(tag, 16),
              33,
              pack,
              35,
              0,
              41,
              title,
              43,
              figures(String.format(";at:s-%08x", at.id()))));
      ledger.count("handed over", 1);
    }
  }

  private final FleetDay day;
  private final Clockwork clock;
  private final Ledger ledger;
  private final SplittableRandom chance;
  private final Host host;
  private final List<List<Line>> lines = new ArrayList<>();

  /** Those that are wanted or play, by their latest id on the wire; each leaves with its end. */
  private final Map<String, Watch> watches = new LinkedHashMap<>();

  private final List<Watch> wanting = new ArrayList<>();
  private long number = 0x1000;

  Viewers(FleetDay day, int fronts) {
    this.day = day;
    this.clock = day.clock();
    this.ledger = day.ledger();
    this.chance = day.chance().split();
    this.host = Host.idle(clock);
    for (int i = 0; i < fronts; i++) {
      lines.add(new ArrayList<>());
    }
  }

  Watch watch(String tag) {
    return watches.get(tag);
  }

  /** Whether a viewer has ever had that id. */
  boolean sent(String tag) {
    return Long.parseUnsignedLong(tag, 16) <= number;
  }

  String viewing(String tag) {
    Watch w = watches.get(tag);
    return w == null ? "gone-" + tag : w.viewing();
  }

  int tuneIn(String tag) {
    Watch w = watches.get(tag);
    return w == null ? 0 : Math.max(0, w.tuneIns - 1);
  }

  private Watch anyone(int front) {
    double u = chance.nextDouble();
    int title = (int) (FleetDay.TITLES * u * u); // some are asked for more
    Span length = Span.ofSeconds(-12 * Math.log(1 - chance.nextDouble()) + 1);
    Watch w = new Watch(front, title, chance.nextDouble() < 0.3, length);
    wanting.add(w);
    return w;
  }

  /** A viewer comes to this front's door. */
  void come(int front) {
    anyone(front).ask();
  }

  /** One that plays already at some holder as the day begins, held by the front. */
  void playsAlready(int front, int rung) {
    Watch w = anyone(front);
    w.tag = String.format("%016x", ++number);
    w.answered = true;
    w.plays = true;
    w.tries = 1;
    watches.put(w.tag, w);
    day.holder(w.home, w.copies, chance).playsAlready(w, rung);
  }

  private Line line(int front) {
    List<Line> of = lines.get(front);
    for (Line l : List.copyOf(of)) {
      if (l.waiting.isEmpty()
          && RESTS.under(clock.now().since(l.usedAt))
          && l.end != null
          && watches.values().stream().noneMatch(w -> w.line == l && w.plays)) {
        of.remove(l);
        l.closed = true;
        l.end.close();
      }
    }
    if (of.size() < KEPT || chance.nextDouble() < 0.1) {
      Line fresh = new Line(front);
      of.add(fresh);
      fresh.open();
      return fresh;
    }
    return of.get(chance.nextInt(of.size()));
  }

  /** The platform tests a front that has started. */
  void test(int front) {
    Line l = new Line(front);
    lines.get(front).add(l);
    l.open();
    l.write(PlatformViewers.message(TEST, 1, 61, new byte[] {0}));
  }

  /** What plays under this front is handed to its new life. */
  void handOver(int front) {
    Line by = line(front);
    for (Watch w : List.copyOf(watches.values())) {
      if (w.front == front && w.plays && w.at != null) {
        w.line = by;
        w.handOver(by);
      } else if (w.front == front && w.plays) {
        w.forget();
      }
    }
  }

  /** What the front that has died owed is owed no more: who waited comes again. */
  void frontDied(int front) {
    for (Line l : List.copyOf(lines.get(front))) {
      l.closed = true;
      l.waiting.forEach(w -> clock.at(clock.now(), w::broke));
    }
  }

  /** Counts what is wanted over the span. */
  void want(Span span) {
    wanting.removeIf(w -> !clock.now().before(w.wantedUntil));
    wanting.forEach(w -> ledger.count("wanted", span.seconds() * w.worth));
  }
}
