package linengauge.wire;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import linengauge.Headend;
import linengauge.Moment;
import linengauge.Outside;
import linengauge.PackageTerms;
import linengauge.Policy;
import linengauge.Span;
import linengauge.session.BoxTable;
import linengauge.session.BoxTable.ListedBox;
import linengauge.session.PeerMessages;
import linengauge.session.TitleTable;
import linengauge.settings.InvalidSettingsException;
import linengauge.settings.Settings;
import linengauge.wire.WireHost.MalformedBatchException;

/** One front: turns ids into the module's handles and its decisions into actions. */
final class WireFront implements Outside {
  private static final Set<String> EVENTS =
      Set.of(
          "backendsChanged",
          "demand",
          "headers",
          "sampled",
          "completed",
          "mail",
          "resumed",
          "reminder",
          "cancelledByClient",
          "statusNote");

  private final int number;
  private final PrintStream complaints;
  private final List<PackageTerms> packages;
  private final Policy policy;
  private final BoxTable boxes;

  /** Emptied as viewings end: an id stays while its answer is owed or a tune-in is out. */
  private final Map<Long, WireViewing> viewings = new HashMap<>();

  private final TitleTable titles;

  /** Steps that wait for their reminder; each leaves when it comes. */
  private final Map<String, Runnable> steps = new HashMap<>();

  /** Viewings answered by the module within the present event; emptied after it. */
  private final List<WireViewing> touched = new ArrayList<>();

  private long stepNumber;
  private JsonGenerator g;
  private boolean broken;

  WireFront(int number, long seed, Map<?, ?> conf, PrintStream complaints)
      throws MalformedBatchException {
    this.number = number;
    this.complaints = complaints;
    Headend headend;
    try {
      headend = Settings.read(conf).deployment();
    } catch (InvalidSettingsException e) {
      throw new MalformedBatchException(e.getMessage());
    }
    this.packages = headend.packages();
    this.policy = new Policy(headend, seed, this);
    this.boxes = new BoxTable(policy, box -> act("inspect", box.id()));
    this.titles = new TitleTable(policy);
  }

  static boolean knows(String event) {
    return EVENTS.contains(event);
  }

  private final class WireViewing implements Player {
    final long id;
    final String titleName;
    Policy.Viewing handle;
    boolean out;
    boolean answered;

    WireViewing(long id, String titleName) {
      this.id = id;
      this.titleName = titleName;
    }

    @Override
    public void tuneIn(Policy.MediaBox box, Span timeout) {
      out = true;
      act("passOn", id, ((BoxTable.Entry) box.line()).id(), timeout.micros());
    }

    @Override
    public void rung(int rung) {
      act("setRung", id, rung);
    }

    @Override
    public void block(Span comeBackAfter, Refusal reason) {
      act("bounce", id, comeBackAfter.micros());
      answered();
    }

    @Override
    public void abort() {
      act("reportFailure", id);
      answered();
    }

    private void answered() {
      answered = true;
      touched.add(this);
    }
  }

  private interface Deed {
    void run() throws IOException, MalformedBatchException;
  }

  /**
   * Runs one call into the module; what the module throws ends the front with the wire's fault
   * action.
   */
  private void call(Moment now, JsonGenerator writer, Deed deed)
      throws IOException, MalformedBatchException {
    if (broken) {
      return;
    }
    g = writer;
    try {
      policy.clock(now);
      deed.run();
    } catch (UncheckedIOException e) {
      throw e.getCause();
    } catch (RuntimeException e) {
      broken = true;
      complaints.println("linengauge: the module of front " + number + " failed");
      e.printStackTrace(complaints);
      act("exception", e.toString());
    }
  }

  void listed(String mode, List<ListedBox> rows, Moment now, JsonGenerator writer)
      throws IOException, MalformedBatchException {
    if (mode.equals("refused")) {
      return;
    }
    if (!mode.equals("changes") && !mode.equals("all") && !mode.equals("remembered")) {
      throw new MalformedBatchException("unknown mode '" + mode + "'");
    }
    call(now, writer, () -> boxes.apply(!mode.equals("changes"), rows));
  }

  void happened(String name, Message m, Moment now, JsonGenerator writer)
      throws IOException, MalformedBatchException {
    switch (name) {
      case "demand" -> demand(m, now, writer);
      case "resumed" -> resumed(m, now, writer);
      case "headers" -> {
        WireViewing vw = viewings.get(m.whole("job"));
        m.skip();
        m.whole("rttUs", 0);
        m.end();
        if (vw != null) {
          call(now, writer, () -> vw.handle.playing());
        }
      }
      case "completed" -> completed(m, now, writer);
      case "cancelledByClient" -> {
        WireViewing vw = viewings.get(m.whole("job"));
        m.end();
        if (vw != null) {
          vw.answered = true;
          call(now, writer, () -> vw.handle.viewerLeft());
          release(vw);
        }
      }
      case "statusNote" -> {
        WireViewing vw = viewings.get(m.whole("job"));
        m.skip();
        double level = m.number("level", Double.NaN);
        int topic = m.integer("topic", 0);
        m.end();
        if (vw != null && !Double.isNaN(level)) {
          call(now, writer, () -> note(vw, topic, level));
        }
      }
      case "sampled" -> {
        BoxTable.Entry b = boxes.get(m.whole("server"));
        int how = m.integer("how");
        m.whole("rttUs", 0);
        Map<?, ?> load = m.object("feedback");
        m.end();
        if (b != null) {
          call(
              now,
              writer,
              () -> {
                report(b, load);
                b.mediaBox().probed(how == 200);
              });
        }
      }
      case "reminder" -> {
        Runnable step = steps.remove(m.text("nonce"));
        m.end();
        if (step != null) {
          call(now, writer, step::run);
        }
      }
      case "mail" -> {
        int peer = m.integer("neighbour");
        String octets = m.text("octets");
        m.end();
        call(now, writer, () -> mail(peer, octets));
      }
      default -> m.end();
    }
    for (WireViewing vw : touched) {
      release(vw);
    }
    touched.clear();
  }

  private void demand(Message m, Moment now, JsonGenerator writer)
      throws IOException, MalformedBatchException {
    long id = m.whole("job");
    String item = m.text("item");
    Span patience = new Span(m.whole("budgetUs"));
    m.skip();
    PackageTerms terms = terms(m.integer("type"));
    int fromCell = m.integer("fromCell", 0);
    m.skip();
    m.skip();
    int cells = m.integer("cellsInRow", 0);
    int ceiling = m.integer("ceilingRung", terms.highestRung());
    m.end();
    call(
        now,
        writer,
        () -> {
          WireViewing vw = hold(id, item);
          vw.handle =
              policy.take(vw, terms, titles.acquire(item, fromCell, cells), ceiling, patience);
          release(vw);
        });
  }

  private void resumed(Message m, Moment now, JsonGenerator writer)
      throws IOException, MalformedBatchException {
    long id = m.whole("job");
    PackageTerms terms = terms(m.integer("type"));
    m.skip();
    m.skip();
    String item = m.text("title");
    m.skip();
    m.skip();
    int fromCell = m.integer("fromCell", 0);
    int cells = m.integer("cellsInRow", 0);
    int ceiling = m.integer("ceilingRung", terms.highestRung());
    m.skip();
    BoxTable.Entry b = boxes.getOrAdd(m.whole("server"));
    m.end();
    call(
        now,
        writer,
        () -> {
          WireViewing vw = hold(id, item);
          vw.out = true;
          vw.handle =
              policy.handOver(
                  vw, terms, titles.acquire(item, fromCell, cells), ceiling, b.mediaBox());
        });
  }

  private void completed(Message m, Moment now, JsonGenerator writer)
      throws IOException, MalformedBatchException {
    WireViewing vw = viewings.get(m.whole("job"));
    m.skip();
    boolean over = m.flag("terminal");
    int how = m.integer("how");
    m.whole("rttUs", 0);
    Long server = m.whole("server", -1);
    Map<?, ?> load = m.object("feedback");
    m.end();
    Ending ending =
        switch (how) {
          case 200 -> Ending.FINISHED;
          case 502 -> Ending.ERROR;
          case 429 -> Ending.TURNED_AWAY;
          case 408 -> Ending.NO_ANSWER;
          case 521 -> Ending.NOT_REACHED;
          case 520 -> Ending.BROKEN;
          case 444 -> Ending.WITHDRAWN;
          case 409 -> Ending.NEVER_SENT;
          default -> throw new MalformedBatchException("unknown outcome " + how);
        };
    BoxTable.Entry b = boxes.get(server);
    call(
        now,
        writer,
        () -> {
          if (b != null) {
            report(b, load);
          }
          if (vw != null) {
            vw.out = false;
            vw.answered |= over;
            // The simulator tells how an attempt has ended once it is over at its server.
            vw.handle.tuneInEnded(ending, over, true);
            release(vw);
          }
        });
  }

  private static void note(WireViewing vw, int topic, double level) {
    switch (topic) {
      case 1 -> vw.handle.shareDelivered(level);
      case 2 -> vw.handle.rungInForce((int) level);
      case 3 -> vw.handle.loadsTold(level, Double.NaN);
      case 4 -> vw.handle.loadsTold(Double.NaN, level);
      default -> {}
    }
  }

  private static void report(BoxTable.Entry b, Map<?, ?> load) {
    if (!load.isEmpty()) {
      b.mediaBox().reported(figure(load, "x0"), figure(load, "x1"), figure(load, "outstanding"));
    }
  }

  private static double figure(Map<?, ?> load, String key) {
    return load.get(key) instanceof Double d ? d : Double.NaN;
  }

  private PackageTerms terms(int type) throws MalformedBatchException {
    if (type < 0 || type >= packages.size()) {
      throw new MalformedBatchException("'type' names no package: " + type);
    }
    return packages.get(type);
  }

  private WireViewing hold(long id, String titleName) {
    WireViewing vw = new WireViewing(id, titleName);
    viewings.put(id, vw);
    return vw;
  }

  private void release(WireViewing vw) {
    if (vw.answered && !vw.out && viewings.remove(vw.id, vw)) {
      titles.release(vw.titleName);
    }
  }

  @Override
  public void wakeAfter(Span span, Runnable step) {
    String token = Long.toString(stepNumber++, 36);
    steps.put(token, step);
    act("notifyMe", span.micros(), token);
  }

  @Override
  public void tell(int front, Policy.MediaBox box, int viewings, double kb, double uplinkShare) {
    say(front, PeerMessages.encodeReport(box, viewings, kb, uplinkShare));
  }

  @Override
  public void answer(
      int front,
      Policy.MediaBox box,
      int othersViewings,
      double othersKb,
      double rackKb,
      double rackSizeKb) {
    say(front, PeerMessages.encodeReply(box, othersViewings, othersKb, rackKb, rackSizeKb));
  }

  private void say(int front, byte[] word) {
    act("say", front, Base64.getEncoder().encodeToString(word));
  }

  private void mail(int peer, String octets) throws MalformedBatchException {
    byte[] word;
    try {
      word = Base64.getDecoder().decode(octets);
    } catch (IllegalArgumentException e) {
      throw new MalformedBatchException("'octets' should be base64");
    }
    PeerMessages.deliver(boxes, peer, word);
  }

  private void act(String name, Object... values) {
    try {
      g.writeStartArray();
      g.writeString(name);
      g.writeNumber(number);
      for (Object v : values) {
        if (v instanceof String s) {
          g.writeString(s);
        } else {
          g.writeNumber(((Number) v).longValue());
        }
      }
      g.writeEndArray();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
