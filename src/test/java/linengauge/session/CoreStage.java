package linengauge.session;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import linengauge.Headend;
import linengauge.Moment;
import linengauge.Outside;
import linengauge.PackageTerms;
import linengauge.Span;
import linengauge.rules.InvalidRecordException;
import linengauge.rules.Judge;
import linengauge.rules.Verdict;

/**
 * Several fronts' cores round model boxes and viewers in virtual time; what passes is written down
 * for the judge.
 */
final class CoreStage {
  static final PackageTerms PLAIN = new PackageTerms(1, Span.ofMillis(800), 1, 0, 4, 0, false);
  static final PackageTerms SEATED = new PackageTerms(2, Span.ofMillis(1000), 1, 1, 4, 2, false);
  static final PackageTerms PAID = new PackageTerms(1, Span.ofMillis(800), 1, 0, 4, 0, true);
  static final List<PackageTerms> PACKAGES = List.of(PLAIN, SEATED, PAID);
  private static final String[] NAMES = {"plain", "seated", "paid"};
  static final Desk.Bounds BOUNDS =
      new Desk.Bounds(
          20,
          Span.ofSeconds(6),
          Span.ofMillis(700),
          Span.ofMillis(25),
          Span.ofMillis(200),
          Span.ofMillis(40));

  private record Due(Moment at, long number, Runnable deed) {}

  /** What becomes of set-ups at a box. */
  enum Mood {
    WELL,
    ERRORS,
    SILENT,
    TURNS_AWAY,
    REFUSES,
    RESETS,
    LATE
  }

  static final class Box {
    final long id;
    Mood mood = Mood.WELL;
    Moment startedAt = Moment.DISTANT_PAST;
    final List<String> runs = new ArrayList<>();
    final java.util.Set<String> ended = new java.util.HashSet<>();

    Box(long id) {
      this.id = id;
    }
  }

  final class Watcher implements Viewer {
    final String ask;
    final int front;
    final Moment asked = now;
    Held held;
    String answer;
    Span advice;
    End end;
    Moment lastAsked = now;
    boolean leavesAsItPlays;

    Watcher(String ask, int front) {
      this.ask = ask;
      this.front = front;
    }

    private void answered(String how, String viewing) {
      answer = how;
      saw(
          "'what':'answered','ask':'%s','front':%d,'how':'%s','status':0,'viewing':'%s'",
          ask, front, how, viewing);
    }

    @Override
    public void plays(Held vw) {
      answered("plays", vw.id());
      if (leavesAsItPlays) {
        vw.viewerLeft();
      }
    }

    @Override
    public void blocked(Span comeBackAfter, Outside.Refusal reason) {
      advice = comeBackAfter;
      answered("blocked", "");
    }

    @Override
    public void aborted(Cause cause) {
      answered("aborted", "");
    }

    @Override
    public void ended(End how) {
      end = how;
    }

    @Override
    public Moment lastAsked() {
      return lastAsked;
    }
  }

  final class Front implements Carrier {
    final int number;
    final Desk desk;
    final List<Watcher> viewers = new ArrayList<>();
    final List<byte[]> said = new ArrayList<>();
    Moment stoppedUntil = Moment.DISTANT_PAST;
    RuntimeException failure;
    boolean holdBack;
    int wakes;

    /** Wakes sooner than this are lost. */
    Span losesWakesUnder = Span.NONE;

    Front(int number, Headend house, long seed) {
      this.number = number;
      this.desk = new Desk(house, BOUNDS, seed, "a", this);
      saw("'what':'front-started','front':%d", number);
      desk.clock(now);
    }

    /** Runs a call on the desk as soon as the front runs. */
    void on(Span after, Runnable deed) {
      later(
          after,
          () -> {
            if (now.before(stoppedUntil)) {
              on(stoppedUntil.since(now), deed);
            } else {
              desk.clock(now);
              deed.run();
            }
          });
    }

    void stopFor(Span span) {
      if (now.before(stoppedUntil)) {
        return;
      }
      stoppedUntil = now.plus(span);
      saw("'what':'front-stopped','front':%d", number);
      later(span, () -> saw("'what':'front-continued','front':%d", number));
    }

    Watcher ask(int pack, String title, Span patience, String key) {
      Watcher w = new Watcher("k" + asks++, number);
      viewers.add(w);
      saw(
          "'what':'asked','ask':'%s','front':%d,'key':'%s','title':'%s','package':'%s','patienceMs':%d",
          w.ask, number, key, title, NAMES[pack], patience.micros() / 1000);
      on(
          Span.NONE,
          () ->
              w.held =
                  desk.take(
                      new Held.Ask(
                          title,
                          title.hashCode() % 4,
                          3,
                          pack,
                          PACKAGES.get(pack),
                          4,
                          patience,
                          key),
                      w));
      return w;
    }

    @Override
    public Wake wakeAfter(Span span, Runnable step) {
      boolean[] off = {span.under(losesWakesUnder)};
      wakes++;
      on(
          span,
          () -> {
            wakes -= off[0] ? 0 : 1;
            if (!off[0]) {
              step.run();
            }
          });
      return () -> {
        wakes -= off[0] ? 0 : 1;
        off[0] = true;
      };
    }

    @Override
    public void setUp(Held vw, int tuneIn) {
      Box box = boxes.get((int) vw.box().id());
      on(
          Span.ofMillis(holdBack ? 300 : 1),
          () -> {
            if (!vw.sendable(tuneIn)) {
              vw.failed(tuneIn, Outside.Ending.NEVER_SENT);
              return;
            }
            if (box.mood == Mood.REFUSES) {
              vw.failed(tuneIn, Outside.Ending.NOT_REACHED);
              return;
            }
            saw(
                "'what':'set-up','box':%d,'viewing':'%s','front':%d,'tuneIn':%d,'title':'%s','package':'%s','rung':%d,"
                    + "'key':'%s'",
                box.id,
                vw.id(),
                number,
                tuneIn,
                vw.ask().title(),
                NAMES[vw.ask().pack()],
                vw.rungNow(),
                vw.ask().key());
            switch (box.mood) {
              case WELL, LATE -> {
                long ms = box.mood == Mood.LATE ? 1500 : 20 + chance.nextInt(40);
                later(
                    Span.ofMillis(ms),
                    () -> {
                      if (box.ended.contains(vw.id() + tuneIn)) {
                        return;
                      }
                      heard(box, vw, tuneIn, "plays");
                      box.runs.add(vw.id());
                      on(Span.ofMillis(1), () -> vw.plays(tuneIn));
                    });
              }
              case ERRORS -> ends(box, vw, tuneIn, "error", Outside.Ending.ERROR);
              case TURNS_AWAY -> ends(box, vw, tuneIn, "turned-away", Outside.Ending.TURNED_AWAY);
              case RESETS -> {
                saw(
                    "'what':'set-up-broken','box':%d,'viewing':'%s','tuneIn':%d",
                    box.id, vw.id(), tuneIn);
                on(Span.ofMillis(1), () -> vw.failed(tuneIn, Outside.Ending.BROKEN));
              }
              default -> {}
            }
          });
    }

    private void ends(Box box, Held vw, int tuneIn, String how, Outside.Ending ending) {
      heard(box, vw, tuneIn, how);
      on(Span.ofMillis(1), () -> vw.failed(tuneIn, ending));
    }

    private void heard(Box box, Held vw, int tuneIn, String how) {
      saw(
          "'what':'set-up-answered','box':%d,'viewing':'%s','tuneIn':%d,'how':'%s'",
          box.id, vw.id(), tuneIn, how);
    }

    @Override
    public void rung(Held vw) {
      saw("'what':'rung','box':%d,'viewing':'%s','rung':%d", vw.box().id(), vw.id(), vw.rungNow());
    }

    @Override
    public void withdraw(Held vw, BoxTable.Entry box, int tuneIn) {
      saw("'what':'ended','box':%d,'viewing':'%s','why':'asked'", box.id(), vw.id());
      boxes.get((int) box.id()).runs.remove(vw.id());
      boxes.get((int) box.id()).ended.add(vw.id() + tuneIn);
    }

    @Override
    public void probe(BoxTable.Entry box) {
      on(
          Span.ofMillis(3),
          () -> {
            desk.reported(box, chance.nextDouble(), chance.nextDouble(), 3);
            desk.probed(box, boxes.get((int) box.id()).mood != Mood.SILENT);
          });
    }

    @Override
    public void send(int front, byte[] datagram) {
      said.add(datagram);
      Front to = fronts.get(front);
      if (chance.nextInt(5) > 0) {
        to.on(Span.ofMillis(5), () -> to.desk.heard(datagram));
      }
    }

    @Override
    public void failed(RuntimeException cause) {
      failure = cause;
    }
  }

  final SplittableRandom chance;
  final List<Front> fronts = new ArrayList<>();
  final List<Box> boxes = new ArrayList<>();
  private final List<String> record = new ArrayList<>();
  private final PriorityQueue<Due> queue =
      new PriorityQueue<>(
          (a, b) -> a.at.equals(b.at) ? Long.compare(a.number, b.number) : a.at.compareTo(b.at));
  private long number;
  private int asks;
  Moment now = new Moment(5_000_000_000L);
  private final Moment origin = now;
  private final int count;

  CoreStage(
      int fronts, int boxCount, boolean messages, boolean probes, boolean rationed, long seed) {
    this.chance = new SplittableRandom(seed);
    this.count = fronts;
    Span ration = rationed ? Span.ofSeconds(10) : Span.NONE;
    record.add(
        ("{'at':0,'what':'terms','packages':[{'name':'plain','lowestRung':0,'highestRung':4,'seats':0,"
                + "'paidAtSetUp':false},{'name':'seated','lowestRung':1,'highestRung':4,'seats':2,'paidAtSetUp':false},"
                + "{'name':'paid','lowestRung':0,'highestRung':4,'seats':0,'paidAtSetUp':true}],'drainGraceMs':100,"
                + "'coldMs':10000,'startCapacity':0.4,'fallMultiple':2.5,'fallAfterMs':2000,'furtherFree':3,'furtherShare':0.2,"
                + "'furtherMs':"
                + ration.micros() / 1000
                + ",'slackMs':10}")
            .replace('\'', '"'));
    for (int i = 0; i < boxCount; i++) {
      boxes.add(new Box(i));
    }
    for (int i = 0; i < fronts; i++) {
      Headend house =
          new Headend(
              fronts,
              i,
              0,
              PACKAGES,
              new double[] {30, 60, 100, 170, 300},
              new double[] {0.25, 0.45, 0.65, 0.82, 1},
              new Headend.Fleet(
                  4, 2, new int[] {24}, 1000.0 * boxCount, 1000, 1700, Span.ofMillis(800)),
              new Headend.Rules(Span.ofSeconds(10), 0.4, 2.5, Span.ofSeconds(2), 3, 0.2, ration),
              new Headend.Permits(4, messages, probes, probes, 0.008, 0.01, 0, Span.ofSeconds(2)));
      this.fronts.add(new Front(i, house, seed + i));
      tellAll(this.fronts.get(i));
    }
  }

  void saw(String fields, Object... values) {
    record.add(
        "{\"at\":"
            + now.since(origin).micros()
            + ","
            + String.format(Locale.ROOT, fields, values).replace('\'', '"')
            + "}");
  }

  /** Set-ups that left for boxes with that number among their viewing's. */
  long setUpsLeft(int tuneIn) {
    return record.stream()
        .filter(l -> l.contains("\"set-up\"") && l.contains("\"tuneIn\":" + tuneIn + ","))
        .count();
  }

  void later(Span span, Runnable deed) {
    queue.add(new Due(now.plus(span), number++, deed));
  }

  BoxTable.Row row(long id, BoxTable.State state, Moment startedAt) {
    return new BoxTable.Row(id, "h:1", 1, (int) id, 0, state, 0, startedAt);
  }

  /** The whole list to one front, as boxes that have run for long. */
  void tellAll(Front front) {
    List<BoxTable.Row> rows = new ArrayList<>();
    for (Box b : boxes) {
      rows.add(row(b.id, BoxTable.State.SERVING, Moment.DISTANT_PAST));
      told(front, b.id, "serving");
    }
    front.desk.clock(now);
    front.desk.listed(1, rows);
  }

  private void told(Front front, long box, String state) {
    saw("'what':'told','front':%d,'box':%d,'state':'%s'", front.number, box, state);
  }

  /** A change of the list to all fronts, each when it runs. */
  void change(long box, BoxTable.State state) {
    for (Front f : fronts) {
      told(f, box, state.name().toLowerCase(Locale.ROOT));
      f.on(
          Span.NONE,
          () ->
              f.desk.listChanged(
                  f.desk.listRevision(),
                  f.desk.listRevision() + 1,
                  List.of(row(box, state, boxes.get((int) box).startedAt))));
    }
  }

  /**
   * A box is lost with all that it runs, is taken off the list, and starts cold after longer than a
   * front stands still.
   */
  void restart(Box box) {
    saw("'what':'box-lost','box':%d", box.id);
    List<String> lost = List.copyOf(box.runs);
    box.runs.clear();
    box.mood = Mood.REFUSES;
    for (Front f : fronts) {
      for (Watcher w : f.viewers) {
        if (w.held != null && lost.contains(w.held.id())) {
          f.on(Span.ofMillis(5), w.held::boxLost);
        }
      }
    }
    change(box.id, BoxTable.State.GONE);
    later(
        Span.ofSeconds(3),
        () -> {
          saw("'what':'box-started','box':%d,'cold':true,'streams':24", box.id);
          box.mood = Mood.WELL;
          box.startedAt = now;
          change(box.id, BoxTable.State.SERVING);
        });
  }

  void pass(Span span) {
    Moment until = now.plus(span);
    while (!queue.isEmpty() && !until.before(queue.peek().at)) {
      Due d = queue.poll();
      now = now.orLater(d.at);
      d.deed.run();
    }
    now = until;
  }

  Verdict judged() {
    try {
      return Judge.judge(record);
    } catch (InvalidRecordException e) {
      throw new AssertionError(e);
    }
  }
}
