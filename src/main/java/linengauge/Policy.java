package linengauge;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * All decisions of one front. Whoever runs it tells the time with clock() before each round of
 * calls, names boxes with box(), titles with title(), and gives viewings with take() (new) or
 * handOver() (playing already). Boxes and viewings are handles: what is heard of them later is a
 * call on the handle. The module acts through Outside.java; what it is told at its start is in
 * Headend.java. The ordinary path is EVeREst's (docs/design.md); what departs says so.
 */
public final class Policy {
  /* The paired averages of the design. */
  private static final Span SHORT = Span.ofSeconds(1);
  private static final Span LONG = Span.ofSeconds(5);
  private static final Span BEAT = Span.ofMillis(500);
  private static final double UPPER_MARK = 1.0;
  private static final double SHORT_RESET = 0.8;
  private static final double SHED_TO = 0.93;
  private static final double LONG_RESET = 0.95;
  private static final Span STEP_PACE = Span.ofSeconds(2);
  private static final double LEAST_SHARE = 0.5;

  /**
   * Links are filled so far, as true rates lie off the ladder: by probe, by others' word, by guess.
   */
  private static final double FILL = 0.87;

  private static final double FILL_TOLD = 0.95;
  private static final double FILL_GUESSED = 0.82;

  /* What is known of boxes and racks. */
  private static final Span REPORT_AGE = Span.ofMillis(400);
  private static final Span CHANGE_LIFE = Span.ofSeconds(6);
  private static final Span RELAX = Span.ofSeconds(10);
  private static final Span TELL_ALL = Span.ofSeconds(6);

  /** A front that has just started has not heard what all play: it answers nobody yet. */
  private static final Span SETTLED = Span.ofMillis(1200);

  /** Short notes are smoothed: they still show what has been shed this much longer. */
  private static final Span SMOOTHED = Span.ofMillis(1600);

  private static final Span SHORT_NEWS = Span.ofMillis(1300);
  private static final Span NEWS_HOLDS = Span.ofSeconds(3);
  private static final Span NEWS_LIFE = Span.ofSeconds(6);
  private static final double PROBE_SPEND = 0.015;
  private static final double PROBES_HELD = 20;
  private static final double GUESSED_MOST = 0.9;
  private static final double USUAL = 0.6;
  private static final double USUAL_WEIGHT = 0.3;

  /** How long a newcomer waits for news of its first choices. */
  private static final Span LOOK = Span.ofMillis(80);

  private static final Span FRESH = Span.ofMillis(700);
  private static final Span LATE_WAIT = Span.ofMillis(600);
  private static final Span LEAST_WAIT = Span.ofMillis(250);
  public static final Span ANSWER_MARGIN = Span.ofMillis(60);
  public static final double ANSWER_MARGIN_SHARE = 0.1; // of a patience, at the most
  private static final Span HOLD = Span.ofMillis(100);

  /** How long a request waits for a server to confirm the end of an earlier attempt. */
  private static final Span CONFIRM_WAIT = Span.ofMillis(250);

  private static final Span COME_BACK = Span.ofMillis(600);
  private static final Span FIRST_AVOID = Span.ofSeconds(1);
  private static final int MOST_DOUBLINGS = 3;

  /**
   * Left free of an uplink, of its size, where a newcomer takes more than its fair part on old
   * news.
   */
  private static final double KEPT_FREE = 0.2;

  /** A point of the price of a connection weighs as much as so many of an uplink's load. */
  private static final double LOAD_FOR_PRICE = 2;

  private static final double COLD_PART = 0.8;

  /**
   * From a choice until its set-up leaves, at the most: a connection is dialled, the loop reads
   * first.
   */
  public static final Span MAX_SEND_DELAY = Span.ofMillis(500);

  private final Deployment house;
  private final Environment outside;
  private final SplittableRandom chance;
  private final double middleKb;
  private final double othersPart;

  /** Fronts may not talk and a probe is too dear for each newcomer: boxes are known by old news. */
  private final boolean oldNews;

  /** Boxes by cell, as listed; and those with viewings of this front, till the last ends. */
  private final List<List<MediaBox>> cells = new ArrayList<>();

  private final List<MediaBox> occupied = new ArrayList<>();
  private final Rack[] racks;

  /** Moments of takes and of further tune-ins within the ration's window; time empties both. */
  private final ArrayDeque<Moment> taken = new ArrayDeque<>();

  private final ArrayDeque<Moment> further = new ArrayDeque<>();
  private Moment now = Moment.DISTANT_PAST;
  private Moment started;
  private double allShares; // of all serving boxes
  private double probesLeft = 1;

  /** The load of a link that nothing is known of: the mean of what boxes report. */
  private double usual = USUAL;

  public Policy(Deployment house, long seed, Environment outside) {
    this.house = house;
    this.outside = outside;
    this.chance = new SplittableRandom(seed);
    double[] kb = house.ladderKbPerSecond();
    this.middleKb = Math.sqrt(kb[0] * kb[kb.length - 1]);
    this.othersPart = 1 - 1.0 / house.frontCount();
    this.oldNews =
        !house.permissions().mayMessageFronts() && PROBE_SPEND < house.permissions().probePrice();
    for (int i = 0; i < Math.max(1, house.fleet().cellCount()); i++) {
      cells.add(new ArrayList<>());
    }
    this.racks = new Rack[house.fleet().rackCount()];
    for (int i = 0; i < racks.length; i++) {
      racks[i] = new Rack();
    }
  }

  /** The time of the calls that follow. */
  public void setTime(Moment moment) {
    now = moment;
    if (started == null) {
      started = moment;
      outside.schedule(BEAT, this::beat);
    }
  }

  public MediaBox createBox(Environment.BoxPort line) {
    return new MediaBox(line);
  }

  public Title createTitle(int firstCell, int cellsInRow) {
    return new Title(firstCell, cellsInRow, new HashMap<>());
  }

  public Viewing requestViewing(
      Environment.ViewingPort player,
      PackageSettings terms,
      Title title,
      int ceiling,
      Span patience) {
    pruneRation();
    taken.add(now);
    Viewing vw = new Viewing(player, terms, title, ceiling, now.plus(patience));
    vw.look();
    return vw;
  }

  /** A viewing that plays already; the rung in force is heard with the next news. */
  public Viewing adoptViewing(
      Environment.ViewingPort player,
      PackageSettings terms,
      Title title,
      int ceiling,
      MediaBox at) {
    Viewing vw = new Viewing(player, terms, title, ceiling, now);
    vw.answered = true;
    vw.playing = true;
    vw.settle(at, terms.lowestRung());
    return vw;
  }

  private void beat() {
    outside.schedule(BEAT, this::beat);
    for (Rack r : racks) {
      r.relax();
    }
    for (MediaBox b : List.copyOf(occupied)) {
      Span pace = b.link.elsewhereAt.isBefore(b.toldAt) ? SETTLED : TELL_ALL;
      if (Math.abs(b.link.own - b.toldKb) > middleKb / 10 || b.toldAt.plus(pace).isBefore(now)) {
        b.tell(1);
      }
      b.sample();
    }
  }

  /* ---- what is known of each box, link and rack ---- */

  private record Change(Moment at, double kb) {}

  private record Word(Moment at, int count, double kb) {}

  /**
   * What is asked of a link or uplink: last reported use plus own changes since that report was
   * true.
   */
  private abstract class Usage {
    double own;
    double told = Double.NaN;
    Moment toldTrueAt = Moment.DISTANT_PAST;

    /** What the other fronts say that they play here, as the rack's keeper last told. */
    double elsewhere;

    Moment elsewhereAt = Moment.DISTANT_PAST;

    /** All changes since the last report was true. */
    private double since;

    /** Those that a late report may not hold yet; time empties it. */
    private final ArrayDeque<Change> recent = new ArrayDeque<>();

    abstract double size();

    /** What others may ask of it, where nothing is heard. */
    abstract double unheard();

    void change(double kb, boolean news) {
      own = Math.max(0, own + kb);
      if (news) {
        heardOf(kb);
      }
    }

    void heardOf(double kb) {
      recent.add(new Change(now, kb));
      since += kb;
      recent.removeIf(c -> c.at().isBefore(now.minus(CHANGE_LIFE)));
    }

    void hear(double load, Moment trueAt) {
      if (Double.isNaN(load) || trueAt.isBefore(toldTrueAt)) {
        return;
      }
      told = load * size();
      toldTrueAt = trueAt;
      recent.removeIf(c -> c.at().isBefore(trueAt));
      since = 0;
      for (Change c : recent) {
        since += c.kb();
      }
    }

    void othersPlay(double kb) {
      if (now.since(elsewhereAt).isShorterThan(TELL_ALL.times(3))) {
        heardOf(kb - elsewhere);
      }
      elsewhere = kb;
      elsewhereAt = now;
    }

    /** The keeper's word counts in full for two tellings, then fades. */
    double wordHolds() {
      return Math.max(0, Math.min(1, 3 - now.since(elsewhereAt).seconds() / TELL_ALL.seconds()));
    }

    double fill() {
      return house.permissions().mayProbe()
          ? FILL
          : FILL_GUESSED + (FILL_TOLD - FILL_GUESSED) * wordHolds();
    }

    /**
     * What is heard. Old news gives way to own rates alone where a probe can ask again, elsewhere
     * to the keeper's word and then to a guess, which alone sheds nothing.
     */
    double demand() {
      return blend(
          house.permissions().mayProbe()
              ? 0
              : Math.min(unheard(), Math.max(0, GUESSED_MOST * size() - own)));
    }

    /** The same with a guess of what is not heard. */
    double likely() {
      return blend(unheard());
    }

    private double blend(double guess) {
      double word = wordHolds();
      double otherwise = own + word * elsewhere + (1 - word) * guess;
      Span stale = now.since(toldTrueAt).minus(NEWS_HOLDS).max(Span.NONE);
      double trust = Math.exp(-stale.seconds() / NEWS_LIFE.seconds());
      return Double.isNaN(told)
          ? otherwise
          : Math.max(own, trust * (told + since) + (1 - trust) * otherwise);
    }

    double load() {
      return demand() / size();
    }

    double room() {
      return fill() * size() - likely();
    }

    double spare() {
      return fill() * size() - demand();
    }
  }

  /** What the list's sizes, or else the streams of the kinds, say of links in kB. */
  private double kbPerShare() {
    Deployment.Fleet fleet = house.fleet();
    return fleet.linkKbPerSecondPerWeight() > 0
        ? fleet.linkKbPerSecondPerWeight()
        : fleet.totalLinkKbPerSecond() / Math.max(1, allShares);
  }

  /** The uplink that a rack's boxes share. */
  private final class Rack extends Usage {
    private double sizeKb = house.fleet().uplinkKbPerSecond();
    private Moment sizedAt = Moment.DISTANT_PAST;

    /**
     * Demand when a short note was true: what was shed since must not make the uplink look small.
     */
    private double lately;

    private int serving;
    private double shares;
    private double wordsKb;

    @Override
    double size() {
      return sizeKb;
    }

    @Override
    double unheard() {
      return usual * linksKb() * othersPart;
    }

    private double linksKb() {
      return shares * kbPerShare();
    }

    /** What others may ask of one of its links, where nothing else is known of that. */
    double othersOn(double linkSize) {
      return Math.max(0, likely() - own) * linkSize / Math.max(linkSize, linksKb());
    }

    /** N of the uplink: the front's own viewings, and others' taken to be of the middle rate. */
    double sharers() {
      double n = Math.max(0, likely() - own) / middleKb;
      for (MediaBox b : occupied) {
        n += b.rack == this ? b.viewings.size() : 0;
      }
      return n;
    }

    /** A short uplink is short for all its boxes: one that plays and is not short clears it. */
    boolean cleared() {
      for (MediaBox b : occupied) {
        if (b.rack == this && !b.shortNow() && b.settingUp() < b.viewings.size()) {
          return true;
        }
      }
      return false;
    }

    /**
     * Where no report tells of the uplink a short note sizes it; the size drifts back, as uplinks
     * do.
     */
    void shortOf(double share) {
      sizeKb = share * Math.max(lately, demand());
      sizedAt = now;
    }

    void relax() {
      double full = house.fleet().uplinkKbPerSecond();
      double pace = RELAX.seconds() * (wordsKb > 0 ? 1 : 6); // words may be lost: not all at once
      double weight = Math.min(1, now.since(sizedAt).seconds() / pace);
      sizeKb += weight * (full - sizeKb);
      sizedAt = now;
      double lag = house.fleet().shareReportDelay().plus(SHORT).seconds();
      lately += Math.min(1, BEAT.seconds() / lag) * (demand() - lately);
    }
  }

  public final class MediaBox {
    private final Environment.BoxPort port;
    private final Link link = new Link();

    /** Viewings with a tune-in out or playing here; each leaves when that ends. */
    private final List<Viewing> viewings = new ArrayList<>();

    private Rack rack = racks[0];
    private boolean serving;
    private boolean listed;
    private int cell;
    private int building;
    private double places = 1;
    private double weight = 1;
    private Moment startedAt = Moment.DISTANT_PAST;
    private double streams = Double.NaN;
    private Moment askedAt = Moment.DISTANT_PAST;
    private double shortAverage;
    private double longAverage;
    private Moment sampledAt;
    private Moment shortAt = Moment.DISTANT_PAST;
    private Moment steppedUpAt = Moment.DISTANT_PAST;
    private int failures;
    private Moment avoidUntil = Moment.DISTANT_PAST;
    private Moment lostAt = Moment.DISTANT_PAST;

    /**
     * What other fronts say that they play here, at the rack's keeper alone, the oldest first; a
     * word leaves with its last viewing or, once its front is silent for two tellings, with the
     * next word.
     */
    private final LinkedHashMap<Integer, Word> words = new LinkedHashMap<>();

    private double wordsKb;
    private int wordsCount;
    private int othersCount;
    private Moment reportedAt = Moment.DISTANT_PAST;
    private double toldKb;
    private Moment toldAt = Moment.DISTANT_PAST;

    /** Newcomers that wait for news; its coming empties it. */
    private final ArrayDeque<Viewing> askers = new ArrayDeque<>();

    /** Sends within the window in which a cold box may fall; time empties it. */
    private final ArrayDeque<Moment> sends = new ArrayDeque<>();

    private MediaBox(Environment.BoxPort line) {
      this.port = line;
    }

    public Environment.BoxPort port() {
      return port;
    }

    public void markServing(double weight, int cell, int kind, int building, Moment startedAt) {
      if (this.startedAt.isBefore(startedAt)) {
        failures = 0;
        avoidUntil = Moment.DISTANT_PAST;
        link.told = Double.NaN;
        streams = Double.NaN;
      }
      counted(false);
      list(false);
      this.weight = weight;
      this.cell = cell;
      int[] byKind = house.fleet().streamsByKind();
      this.places = kind < byKind.length ? byKind[kind] : 1;
      this.building = building;
      this.startedAt = startedAt;
      rack.change(-link.own, false);
      rack = racks[Math.floorMod(cell, racks.length)];
      rack.change(link.own, false);
      list(true);
      counted(true);
    }

    public void markDraining() {
      counted(false);
      list(true);
    }

    public void markGone() {
      counted(false);
      list(false);
    }

    /**
     * Nothing is held here any more and the list no longer names it. Guards against a box that
     * comes back to the list with its pace forgotten: what was sent within the window counts if it
     * is cold.
     */
    public boolean isDiscardable() {
      prune(sends, now.minus(fallWindow()));
      return !listed && viewings.isEmpty() && sends.isEmpty();
    }

    private void list(boolean in) {
      List<MediaBox> shelf = cells.get(Math.floorMod(cell, cells.size()));
      shelf.remove(this);
      listed = in && shelf.add(this);
    }

    /** Into or out of the running totals of its rack and of all. */
    private void counted(boolean in) {
      if (in != serving) {
        double share = in ? share() : -share();
        rack.shares += share;
        allShares += share;
        rack.serving += in ? 1 : -1;
        serving = in;
      }
    }

    /**
     * Its part of all links by the list's sizes or, where it gives none, by the streams of its
     * kind.
     */
    private double share() {
      return house.fleet().linkKbPerSecondPerWeight() > 0 ? weight : places;
    }

    private void loads(double linkAsked, double uplinkAsked, Moment trueAt) {
      if (!Double.isNaN(linkAsked)) {
        usual += USUAL_WEIGHT * (linkAsked - usual);
        reportedAt = now;
      }
      link.hear(linkAsked, trueAt);
      rack.hear(uplinkAsked, trueAt);
      sample();
    }

    public void loadReported(double linkAsked, double uplinkAsked, double streams) {
      this.streams = streams;
      loads(linkAsked, uplinkAsked, now.minus(REPORT_AGE));
    }

    public void probeEnded(boolean answered) {
      probeEnded(
          answered ? Environment.AttemptOutcome.FINISHED : Environment.AttemptOutcome.NO_ANSWER);
    }

    /** What came of a probe: FINISHED where it was answered. */
    public void probeEnded(Environment.AttemptOutcome how) {
      if (how != Environment.AttemptOutcome.FINISHED && how != Environment.AttemptOutcome.HELD_UP) {
        failed(how != Environment.AttemptOutcome.UNHEARD);
      }
      answerAskers();
    }

    private void answerAskers() {
      for (Viewing vw = askers.poll(); vw != null; vw = askers.poll()) {
        vw.heard();
      }
    }

    /** Asks for news, by probe or by word. Says whether it has just been asked. */
    private boolean ask() {
      if (now.since(askedAt).isShorterThan(FRESH) || !probe() && !tell(1)) {
        return false;
      }
      askedAt = now;
      return true;
    }

    private boolean probe() {
      if (!house.permissions().mayProbe() || probesLeft < 1) {
        return false;
      }
      probesLeft--;
      port.probe();
      return true;
    }

    private boolean holds(Title title) {
      int off = Math.floorMod(cell - title.firstCell, cells.size());
      return title.cellsInRow <= 0 || off < title.cellsInRow;
    }

    /**
     * Guards against boxes that fail set-ups in whatever way: silence, errors, being full, slow or
     * out of reach. A failure doubles the time for which others are preferred, a success halves it.
     * It could harm where one moment hits many boxes: with no other left an avoided box is still
     * used.
     */
    private void failed(boolean silent) {
      avoidUntil = now.plus(FIRST_AVOID.times(1 << Math.min(failures, MOST_DOUBLINGS)));
      failures = Math.min(failures + 1, MOST_DOUBLINGS + 1);
      if (silent) {
        lostAt = now;
      }
    }

    private void succeeded() {
      failures = Math.max(0, failures / 2);
      avoidUntil = Moment.DISTANT_PAST;
    }

    private boolean avoided() {
      return now.isBefore(avoidUntil) || failures > 0 && settingUp() > 0;
    }

    private int settingUp() {
      int n = 0;
      for (Viewing vw : viewings) {
        n += vw.playing ? 0 : 1;
      }
      return n;
    }

    private boolean shortNow() {
      return now.since(shortAt).isShorterThan(SHORT_NEWS);
    }

    /**
     * A share of the rates is heard as a load of one over it, of whichever is fuller, link or
     * uplink.
     */
    private void heardShare(double share) {
      if (share >= 0.98) {
        return;
      }
      shortAt = now;
      Moment trueAt = now.minus(house.fleet().shareReportDelay()).minus(SMOOTHED);
      double asked = 1 / Math.max(LEAST_SHARE, share);
      if (rack.cleared() || link.load() >= rack.load()) {
        link.hear(asked, trueAt);
      } else if (house.permissions().boxesReportUplink() || rack.wordHolds() < 0.5) {
        rack.hear(asked, trueAt);
      } else {
        rack.shortOf(1 / asked);
        if (SETTLED.isShorterThan(now.since(toldAt))) {
          tell(1 / asked);
        }
      }
      sample();
    }

    /** The share of its size that a box which has just started is sure to give. */
    private double warmth() {
      double age = now.since(startedAt).seconds();
      double whole = house.rules().coldPeriod().seconds();
      double start = house.rules().coldStartCapacity();
      return age >= whole || whole <= 0 ? 1 : start + (1 - start) * Math.max(0, age) / whole;
    }

    private final class Link extends Usage {
      @Override
      double size() {
        return Math.max(1, share() * kbPerShare()) * warmth();
      }

      @Override
      double unheard() {
        return rack.othersOn(size());
      }
    }

    /**
     * Guards against the last word of a front that is gone: it counts no longer than two tellings.
     */
    private void forgetSilentFronts() {
      while (!words.isEmpty()) {
        var oldest = words.entrySet().iterator().next();
        if (!oldest.getValue().at().plus(TELL_ALL.times(2.2)).isBefore(now)) {
          return;
        }
        word(oldest.getKey(), 0, 0);
      }
    }

    private void word(int front, int count, double kb) {
      Word old = words.remove(front);
      if (count > 0) {
        words.put(front, new Word(now, count, kb));
      }
      double more = (count > 0 ? kb : 0) - (old == null ? 0 : old.kb());
      wordsKb = Math.max(0, wordsKb + more);
      wordsCount += count - (old == null ? 0 : old.count());
      rack.wordsKb = Math.max(0, rack.wordsKb + more);
      othersCount = wordsCount;
      if (SETTLED.isShorterThan(now.since(started))) {
        link.othersPlay(wordsKb);
        rack.othersPlay(rack.wordsKb);
      }
    }

    /**
     * To the keeper from another front, which is answered with what the rest play here and all on
     * the uplink, and the uplink's size.
     */
    public void usageReceived(int front, int count, double kb, double share) {
      forgetSilentFronts();
      word(front, count, kb);
      if (share < 1) {
        rack.shortOf(share);
      }
      if (SETTLED.isShorterThan(now.since(started))) {
        outside.sendRackUsage(
            front,
            this,
            wordsCount - count + viewings.size(),
            wordsKb - kb + link.own,
            rack.wordsKb + rack.own,
            rack.sizeKb);
      }
    }

    /** From the keeper. */
    public void rackUsageReceived(int count, double kb, double rackKb, double rackSizeKb) {
      othersCount = count;
      link.othersPlay(kb);
      rack.othersPlay(Math.max(0, rackKb - rack.own));
      rack.sizeKb = rackSizeKb;
      sample();
      answerAskers();
    }

    /**
     * Where fronts may talk, one keeps for each rack what all play there. Telling it is asking it;
     * returns whether an answer is to come.
     */
    private boolean tell(double uplinkShare) {
      if (!house.permissions().mayMessageFronts() || house.frontCount() < 2) {
        return false;
      }
      toldKb = link.own;
      toldAt = now;
      int keeper = Math.floorMod(cell, racks.length) % house.frontCount();
      if (keeper == house.frontNumber()) {
        return false;
      }
      outside.sendUsage(keeper, this, viewings.size(), link.own, uplinkShare);
      return true;
    }

    /* ---- the paired averages and the cap ---- */

    /** One sample of demand over size: both averages move, then a step down, one up, or none. */
    private void sample() {
      // With nothing heard and no probe to ask, own rates alone would look like room.
      Moment heardAt = reportedAt.max(link.elsewhereAt).max(link.toldTrueAt);
      boolean fresh =
          now.since(heardAt)
              .isShorterThan(house.permissions().mayProbe() ? FRESH : TELL_ALL.times(2));
      if (viewings.isEmpty()
          || !fresh && !house.permissions().mayProbe() && house.frontCount() > 1) {
        sampledAt = now;
        return;
      }
      double x = Math.max(link.load(), rack.load());
      double passed = now.since(sampledAt).seconds();
      shortAverage += Math.min(1, passed / SHORT.seconds()) * (x - shortAverage);
      longAverage += Math.min(1, passed / LONG.seconds()) * (x - longAverage);
      sampledAt = now;
      if (shortAverage >= UPPER_MARK) {
        stepDown(1 - SHED_TO / Math.max(x, SHED_TO));
      } else if (!now.isBefore(steppedUpAt.plus(STEP_PACE))) {
        Viewing low = next(1);
        double mark = low == null ? 0 : link.fill() - low.added(1) / link.size();
        // A step up wants fresh news: it is asked for first.
        if (longAverage < mark && x < mark && !ask() && fresh) {
          stepUp(low, link.fill() / Math.max(x, 0.1) - 1);
        }
      }
    }

    /**
     * Every front on a link hears the same news. Each steps for its own part of the shortage, or of
     * the room, the last step by chance, so that all together meet it: one front alone as well as
     * hundreds with a viewing each. It harms where others do not hear: then the next sample steps
     * again.
     */
    private void stepDown(double over) {
      Viewing top = next(-1);
      shortAverage = top == null ? shortAverage : SHORT_RESET;
      double part = over * link.own;
      othersAlike(-over);
      List<Viewing> lowered = new ArrayList<>();
      while (top != null && chance.nextDouble() < part / -top.added(-1)) {
        part += top.added(-1);
        top.shift(-1);
        lowered.remove(top);
        lowered.add(top);
        top = next(-1);
      }
      lowered.forEach(vw -> vw.player.setRung(vw.rung)); // each change costs: one for several steps
    }

    private void stepUp(Viewing low, double under) {
      longAverage = LONG_RESET;
      steppedUpAt = now;
      double part = under * link.own;
      for (; low != null && chance.nextDouble() < part / low.added(1); low = next(1)) {
        part -= low.added(1);
        low.shift(1);
        low.player.setRung(low.rung);
      }
    }

    /**
     * The viewing that steps next: the top rung down, the lowest up within the cap; among equals
     * the least value lost or most won for a kB.
     */
    private Viewing next(int by) {
      Viewing best = null;
      for (Viewing vw : viewings) {
        if (vw.playing
            && vw.mayStep(by)
            && (best == null
                || by * (best.rung - vw.rung) > 0
                || best.rung == vw.rung && by * (vw.gain(by) - best.gain(by)) > 0)) {
          best = vw;
        }
      }
      return best;
    }

    /**
     * The other fronts' parts of what this one now does about a load of its link or of its uplink.
     */
    private void othersAlike(double by) {
      if (house.permissions().mayMessageFronts()) {
        return; // told soon
      }
      double onLink = by * Math.max(0, link.demand() - link.own);
      double onRack = by * Math.max(0, rack.demand() - rack.own) * link.own / Math.max(1, rack.own);
      boolean uplink = rack.load() > link.load();
      link.heardOf(onLink);
      rack.heardOf(uplink ? onRack : onLink);
    }

    /**
     * N: the link's viewings, by own account and what others or reports say beyond it; where they
     * say nothing, others' are taken to be of the middle rate.
     */
    private double sharers() {
      return viewings.size()
          + Math.max(
              0,
              !Double.isNaN(streams)
                  ? streams - viewings.size()
                  : house.permissions().mayMessageFronts()
                      ? othersCount
                      : (link.likely() - link.own) / middleKb);
    }

    private boolean capped(double rate, double linkRoom, double rackRoom) {
      return rate <= link.size() / (sharers() + 1)
          || rate + middleKb <= linkRoom && rate + rack.serving * middleKb <= rackRoom;
    }

    private double room() {
      return Math.min(link.room(), rack.room());
    }
  }

  /**
   * What is watched: where it is held, and the viewings of it here that hold a seat, one row a
   * package; a row leaves with its last viewing.
   */
  public record Title(
      int firstCell, int cellsInRow, Map<PackageSettings, Integer> viewingsByPackage) {}

  public final class Viewing {
    private final Environment.ViewingPort player;
    private final PackageSettings terms;
    private final Title title;
    private final int ceiling;
    private final Moment target;
    private final Moment patienceEnds;
    private final Span margin;
    private MediaBox at;
    private int rung;
    private int tuneIns;

    /** Answers that it waits for. */
    private int unheard;

    private boolean looked;
    private boolean playing;
    private boolean answered;
    private boolean mayHaveRun;
    private final UnconfirmedAttempts unconfirmed = new UnconfirmedAttempts();
    private Moment endedAt = Moment.DISTANT_PAST;
    private boolean holding;

    /** Asked for a confirmation since its last attempt. */
    private boolean asked;

    private Viewing(
        Environment.ViewingPort player,
        PackageSettings terms,
        Title title,
        int ceiling,
        Moment patienceEnds) {
      this.player = player;
      this.terms = terms;
      this.title = title;
      this.ceiling = Math.max(terms.lowestRung(), Math.min(ceiling, terms.highestRung()));
      this.patienceEnds = patienceEnds;
      this.margin = ANSWER_MARGIN.min(patienceEnds.since(now).times(ANSWER_MARGIN_SHARE));
      this.target = now.plus(terms.latencyObjective());
      probesLeft =
          Math.min(
              PROBES_HELD,
              probesLeft + PROBE_SPEND / Math.max(0.001, house.permissions().probePrice()));
    }

    private double rate(int r) {
      return terms.rateFactor() * house.ladderKbPerSecond()[r];
    }

    private boolean mayStep(int by) {
      double present = rate(rung);
      return by < 0
          ? rung > terms.lowestRung()
          : rung < ceiling
              && at.capped(rate(rung + 1), at.link.spare() + present, at.rack.spare() + present);
    }

    /** What a step adds to the rate: less than nothing for one down. */
    private double added(int by) {
      return rate(rung + by) - rate(rung);
    }

    /** Value won or lost for each kB of the step. */
    private double gain(int by) {
      return terms.value() * (house.rungValues()[rung + by] - house.rungValues()[rung]) / added(by);
    }

    private void shift(int by) {
      change(added(by), true);
      rung += by;
    }

    /** A change of own rates; no news where it has been in force already. */
    private void change(double kb, boolean news) {
      at.link.change(kb, news);
      at.rack.change(kb, news);
    }

    /* ---- placement ---- */

    /** Where probes or words are allowed, the two holders that look best are asked first. */
    private void look() {
      MediaBox first = roomiest(null);
      ask(first);
      ask(first == null ? null : roomiest(first));
      if (unheard > 0) {
        outside.schedule(LOOK, this::place);
      } else {
        place();
      }
    }

    private void ask(MediaBox b) {
      if (b != null && b.ask()) {
        b.askers.add(this);
        looked = true;
        unheard++;
      }
    }

    private void heard() {
      if (--unheard == 0) {
        place();
      }
    }

    private MediaBox roomiest(MediaBox but) {
      MediaBox best = null;
      double most = Double.NEGATIVE_INFINITY;
      int row = title.cellsInRow <= 0 ? cells.size() : Math.min(cells.size(), title.cellsInRow);
      for (int i = 0; i < row; i++) {
        for (MediaBox b : cells.get(Math.floorMod(title.firstCell + i, cells.size()))) {
          double score = b != but && mayTuneIn(this, b) ? score(b) : Double.NEGATIVE_INFINITY;
          if (score > most) {
            most = score;
            best = b;
          }
        }
      }
      return best;
    }

    private double score(MediaBox b) {
      double score = b.room() + 0.2 * b.link.room() + middleKb * chance.nextDouble();
      // Others of this front's play there: it is connected, and what is heard is heard for all of
      // them.
      double connected = house.permissions().connectionPrice() * LOAD_FOR_PRICE * b.rack.size();
      score += b.viewings.isEmpty() ? 0 : connected;
      score -=
          b.building == house.building()
              ? 0
              : house.permissions().buildingCrossingPrice() * 10 * middleKb;
      score -= b.streams + b.settingUp() >= b.places ? 1e8 : 0;
      score -= b.avoided() ? 1e9 * (1 + b.failures) : 0;
      Moment heardAt = b.link.toldTrueAt.max(b.link.elsewhereAt);
      return score - (looked && FRESH.isShorterThan(now.since(heardAt)) ? 1e7 : 0);
    }

    /** Sends to the roomiest holder; waits a little where the gate is shut, blocks if it stays. */
    private void place() {
      if (answered || at != null) {
        return;
      }
      MediaBox best = roomiest(null);
      if (best != null && !crowdedOut(best)) {
        tuneIn(best);
      } else if (best == null
          && mayStillPlay()
          && HOLD.isShorterThan(patienceLeft(this))
          && (now.plus(HOLD).isBefore(target) || awaitsConfirmation())) {
        askConfirmation();
        hold();
      } else {
        giveUp(best);
      }
    }

    private void hold() {
      if (!holding) {
        holding = true;
        outside.schedule(
            HOLD,
            () -> {
              holding = false;
              place();
            });
      }
    }

    /** Asks once after each attempt, where nothing else is left; later probes pay for it. */
    private void askConfirmation() {
      MediaBox barred = barredByUnconfirmed();
      if (barred != null && !asked && house.permissions().mayProbe()) {
        asked = true;
        probesLeft--;
        player.requestEndConfirmation(barred.port.id());
      }
    }

    /** A server could take it but for an earlier attempt whose end may be confirmed any moment. */
    private boolean awaitsConfirmation() {
      return barredByUnconfirmed() != null && now.since(endedAt).isShorterThan(CONFIRM_WAIT);
    }

    private MediaBox barredByUnconfirmed() {
      if (unconfirmed.isEmpty()) {
        return null;
      }
      for (List<MediaBox> shelf : cells) {
        for (MediaBox b : shelf) {
          if (unconfirmed.mayBeOutAt(b.port.id()) && mayTuneInButForUnconfirmed(this, b)) {
            return b;
          }
        }
      }
      return null;
    }

    /**
     * Even on its lowest rung it would make its best box short, which costs all that play there
     * more than it is worth. Should hold against any crowd; it harms where those could still step
     * down.
     */
    private boolean crowdedOut(MediaBox b) {
      double least = rate(terms.lowestRung());
      return b.link.likely() + least > b.link.size() || b.rack.likely() + least > b.rack.size();
    }

    private boolean mayStillPlay() {
      return tuneIns < house.permissions().maxTuneIns() && (!mayHaveRun || !terms.paidAtSetUp());
    }

    /**
     * The highest rung that fits cap and room, or the lowest: so too on old news where it or any
     * two boxes played on are short: what steps down looks like room to all. It harms if others are
     * not.
     */
    private int fit(MediaBox b) {
      boolean crowded =
          oldNews && (b.shortNow() || 1 < occupied.stream().filter(MediaBox::shortNow).count());
      for (int r = ceiling; r > terms.lowestRung() && !crowded; r--) {
        double kept = oldNews ? KEPT_FREE * b.rack.size() : 0;
        if (rate(r) <= b.room() && b.capped(rate(r), b.link.room(), b.rack.room() - kept)
            || oldNews && fairlyFits(b, r)) {
          return r;
        }
      }
      return terms.lowestRung();
    }

    /**
     * On old news all fronts see the same room and take it at once, or none and start at the
     * lowest. There a newcomer takes the rung nearest to its fair part of the uplink, up to the
     * brim: the more already play, the less. It harms where one front alone fills an uplink: it
     * could have had all.
     */
    private boolean fairlyFits(MediaBox b, int r) {
      double brim = Math.min(b.link.size() - b.link.likely(), b.rack.size() - b.rack.likely());
      double part = b.rack.size() / (b.rack.sharers() + 1);
      return rate(r) <= brim
          && rate(r) * rate(r - 1) <= part * part
          && b.capped(rate(r), b.link.room(), Double.POSITIVE_INFINITY);
    }

    private void tuneIn(MediaBox b) {
      int fits = fit(b);
      Span toTarget = target.since(now);
      Span wait =
          LEAST_WAIT.isShorterThan(toTarget) ? toTarget.times(0.5).max(LEAST_WAIT) : LATE_WAIT;
      gatePassed(this, b);
      settle(b, fits);
      player.setRung(rung);
      player.tuneIn(b, wait.min(patienceLeft(this)));
      b.tell(1);
    }

    private void settle(MediaBox b, int r) {
      at = b;
      rung = r;
      change(rate(r), !playing);
      if (b.viewings.isEmpty()) {
        occupied.add(b);
        b.shortAverage = SHORT_RESET;
        b.longAverage = LONG_RESET;
        b.sampledAt = now;
      }
      b.viewings.add(this);
      if (terms.maxViewingsPerTitle() > 0) {
        title.viewingsByPackage.merge(terms, 1, Integer::sum);
      }
    }

    private void leave() {
      change(-rate(rung), true);
      at.viewings.remove(this);
      if (at.viewings.isEmpty()) {
        occupied.remove(at);
        at.tell(1);
      }
      if (terms.maxViewingsPerTitle() > 0) {
        title.viewingsByPackage.computeIfPresent(terms, (t, n) -> n > 1 ? n - 1 : null);
      }
      at = null;
    }

    /** The final answer, at once: blocked where that is safe to say, else aborted. */
    private void giveUp(MediaBox best) {
      Environment.RejectionReason reason = refusal(best);
      answered = true;
      if (mayHaveRun && terms.paidAtSetUp()) {
        player.fail();
      } else {
        player.reject(COME_BACK.min(house.permissions().maxRetryAfter()), reason);
      }
    }

    private Environment.RejectionReason refusal(MediaBox best) {
      if (best != null) {
        return Environment.RejectionReason.SERVERS_FULL;
      }
      if (!mayStillPlay()) {
        return Environment.RejectionReason.ATTEMPTS_USED_UP;
      }
      if (!margin.isShorterThan(patienceLeft(this))) {
        return Environment.RejectionReason.DEADLINE_TOO_CLOSE;
      }
      if (tuneIns > 0 && !furtherLeft()) {
        return Environment.RejectionReason.RETRY_BUDGET_USED_UP;
      }
      return barredByUnconfirmed() != null
          ? Environment.RejectionReason.EARLIER_ATTEMPT_UNCONFIRMED
          : Environment.RejectionReason.NO_SERVER;
    }

    /* ---- end-of-viewing bookkeeping ---- */

    public void playbackStarted() {
      if (at == null) {
        return;
      }
      playing = true;
      answered = true;
      at.succeeded();
      at.sample();
    }

    /**
     * The tune-in is no longer out; over says that the viewing has ended with it or before,
     * confirmed that it is over at its server too.
     */
    public void tuneInEnded(Environment.AttemptOutcome how, boolean over, boolean confirmed) {
      if (at == null) {
        return;
      }
      MediaBox b = at;
      boolean wasPlaying = playing;
      playing = false;
      if (!confirmed) {
        unconfirmed.endedUnconfirmed(b.port.id(), tuneIns - 1);
      }
      endedAt = now;
      asked = false;
      leave();
      mayHaveRun |= !how.neverRan;
      switch (how) {
        case ERROR, SPOILT, TURNED_AWAY, UNHEARD -> b.failed(false);
        case NO_ANSWER, NOT_REACHED, BROKEN, RESET -> b.failed(true);
        default -> {}
      }
      b.sample();
      answered |= over || wasPlaying;
      if (!answered) {
        place();
      }
    }

    /** That attempt, which ended unconfirmed, is over at its server too. */
    public void endConfirmed(int attempt) {
      if (unconfirmed.confirm(attempt) && holding) {
        place();
      }
    }

    /** The viewer has gone; a tune-in that is out still ends by itself. */
    public void viewerLeft() {
      answered = true;
    }

    public void shareDelivered(double share) {
      if (at != null) {
        at.heardShare(share);
      }
    }

    public void rungReported(int inForce) {
      if (at != null
          && inForce != rung
          && inForce >= 0
          && inForce < house.ladderKbPerSecond().length) {
        change(added(inForce - rung), false);
        rung = inForce;
      }
    }

    /** What the box tells on this viewing of link and uplink; NaN for what it does not. */
    public void loadsReported(double linkAsked, double uplinkAsked) {
      if (at != null) {
        Span late = playing ? house.fleet().shareReportDelay() : Span.NONE;
        at.loads(linkAsked, uplinkAsked, now.minus(late));
      }
    }
  }

  /* ---- the gate: every send passes here, and every rule is kept here ---- */

  private boolean mayTuneIn(Viewing vw, MediaBox b) {
    return !vw.unconfirmed.mayBeOutAt(b.port.id()) && mayTuneInButForUnconfirmed(vw, b);
  }

  private boolean mayTuneInButForUnconfirmed(Viewing vw, MediaBox b) {
    return !vw.answered
        && vw.at == null
        && vw.mayStillPlay() // one tune-in out, none twice
        && vw.margin.isShorterThan(
            patienceLeft(vw)) // the answer comes before the viewer's patience ends
        && b.serving
        && b.holds(vw.title) // drains: nothing at all once told, well within the grace
        && (vw.terms.maxViewingsPerTitle() <= 0
            || vw.title.viewingsByPackage.getOrDefault(vw.terms, 0)
                < vw.terms.maxViewingsPerTitle())
        && (vw.tuneIns == 0 || furtherLeft())
        && coldPaceKept(b);
  }

  private Span patienceLeft(Viewing vw) {
    return vw.patienceEnds.since(now).minus(vw.margin);
  }

  private void gatePassed(Viewing vw, MediaBox b) {
    if (vw.tuneIns++ > 0) {
      further.add(now);
    }
    prune(b.sends, now.minus(fallWindow()));
    b.sends.add(now);
  }

  private boolean furtherLeft() {
    Deployment.Rules rules = house.rules();
    pruneRation();
    return rules.retryWindow().equals(Span.NONE)
        || further.size() + 1 <= rules.freeRetries() + rules.retriesPerRequest() * taken.size();
  }

  /** The window is that of the sending, which may come so much later. */
  private void pruneRation() {
    prune(further, now.minus(house.rules().retryWindow()).minus(MAX_SEND_DELAY));
    prune(taken, now.minus(house.rules().retryWindow()).plus(MAX_SEND_DELAY));
  }

  private static void prune(ArrayDeque<Moment> moments, Moment from) {
    while (!moments.isEmpty() && moments.peek().isBefore(from)) {
      moments.poll();
    }
  }

  /** The span over which sends to a cold box are counted. */
  private Span fallWindow() {
    return house.rules().overloadWindow().plus(MAX_SEND_DELAY);
  }

  /**
   * A cold box gets this front's part of what all fronts together may send it in any window,
   * reckoned at the capacity that it surely has at its start. Where a part is less than one set-up
   * the fronts take turns by their numbers, so that they keep it with no word between them. A front
   * that has itself just started may have sent before: it waits.
   */
  private boolean coldPaceKept(MediaBox b) {
    Deployment.Rules rules = house.rules();
    if (!now.isBefore(b.startedAt.max(b.lostAt).plus(rules.coldPeriod()))) {
      return true; // neither just started nor lost from sight so lately that it may have
    }
    Span window = fallWindow();
    prune(b.sends, now.minus(window));
    double all =
        COLD_PART
            * rules.overloadMultiple()
            * b.places
            * rules.coldStartCapacity()
            * rules.overloadWindow().seconds()
            / rules.coldPeriod().seconds();
    if (now.since(started).isShorterThan(window)) {
      return false;
    }
    double part = Math.floor(all / house.frontCount());
    if (part >= 1) {
      return b.sends.size() < part;
    }
    double turns = Math.floor(all) - 1;
    long turn = Math.floorDiv(now.micros(), Math.max(1, Math.round(window.micros() / turns)));
    return turns >= 1
        && b.sends.isEmpty()
        && Math.floorMod(turn, house.frontCount()) == house.frontNumber();
  }
}
