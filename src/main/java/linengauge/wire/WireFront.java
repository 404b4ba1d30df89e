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
import linengauge.Deployment;
import linengauge.Environment;
import linengauge.Moment;
import linengauge.PackageSettings;
import linengauge.Policy;
import linengauge.Span;
import linengauge.session.BoxTable;
import linengauge.session.BoxTable.ListedBox;
import linengauge.session.PeerMessages;
import linengauge.session.TitleTable;
import linengauge.settings.InvalidSettingsException;
import linengauge.settings.Settings;
import linengauge.wire.WireHost.MalformedBatchException;

/** One hosted front: maps ids to the module's handles and the module's decisions to actions. */
final class WireFront implements Environment {
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
  private final PrintStream errors;
  private final List<PackageSettings> packages;
  private final Policy policy;
  private final BoxTable boxes;

  /** The viewings by id; each is removed once its answer is given and no tune-in is open. */
  private final Map<Long, WireViewing> viewings = new HashMap<>();

  private final TitleTable titles;

  /** Scheduled steps by the token of their reminder; each is removed when its reminder comes. */
  private final Map<String, Runnable> pendingSteps = new HashMap<>();

  /** Viewings that the module has answered within the present event; cleared after it. */
  private final List<WireViewing> answeredViewings = new ArrayList<>();

  private long nextStepNumber;
  private JsonGenerator generator;
  private boolean failed;

  WireFront(int number, long seed, Map<?, ?> config, PrintStream errors)
      throws MalformedBatchException {
    this.number = number;
    this.errors = errors;
    Deployment deployment;
    try {
      deployment = Settings.read(config).deployment();
    } catch (InvalidSettingsException e) {
      throw new MalformedBatchException(e.getMessage());
    }
    this.packages = deployment.packages();
    this.policy = new Policy(deployment, seed, this);
    this.boxes = new BoxTable(policy, box -> writeAction("inspect", box.id()));
    this.titles = new TitleTable(policy);
  }

  static boolean isKnownEvent(String event) {
    return EVENTS.contains(event);
  }

  private final class WireViewing implements ViewingPort {
    final long id;
    final String titleName;
    Policy.Viewing policyViewing;
    boolean tuneInActive;
    boolean answered;

    WireViewing(long id, String titleName) {
      this.id = id;
      this.titleName = titleName;
    }

    @Override
    public void tuneIn(Policy.MediaBox box, Span timeout) {
      tuneInActive = true;
      writeAction("passOn", id, ((BoxTable.Entry) box.port()).id(), timeout.micros());
    }

    @Override
    public void setRung(int rung) {
      writeAction("setRung", id, rung);
    }

    @Override
    public void reject(Span retryAfter, RejectionReason reason) {
      writeAction("bounce", id, retryAfter.micros());
      markAnswered();
    }

    @Override
    public void fail() {
      writeAction("reportFailure", id);
      markAnswered();
    }

    private void markAnswered() {
      answered = true;
      answeredViewings.add(this);
    }
  }

  private interface ModuleCall {
    void run() throws IOException, MalformedBatchException;
  }

  /**
   * Runs one call into the module, whose decisions go to the given writer. If the module throws,
   * the front writes the action "exception" and ignores all later calls.
   */
  private void call(Moment now, JsonGenerator writer, ModuleCall moduleCall)
      throws IOException, MalformedBatchException {
    if (failed) {
      return;
    }
    generator = writer;
    try {
      policy.setTime(now);
      moduleCall.run();
    } catch (UncheckedIOException e) {
      throw e.getCause();
    } catch (RuntimeException e) {
      failed = true;
      errors.println("linengauge: the module of front " + number + " failed");
      e.printStackTrace(errors);
      writeAction("exception", e.toString());
    }
  }

  void applyPool(String mode, List<ListedBox> listings, Moment now, JsonGenerator writer)
      throws IOException, MalformedBatchException {
    if (mode.equals("refused")) {
      return;
    }
    if (!mode.equals("changes") && !mode.equals("all") && !mode.equals("remembered")) {
      throw new MalformedBatchException("unknown mode '" + mode + "'");
    }
    call(now, writer, () -> boxes.apply(!mode.equals("changes"), listings));
  }

  /**
   * Handles one event. Its values are read in their fixed order: one that is not used is skipped,
   * or read without use where its type is to be checked.
   */
  void handleEvent(String name, Message message, Moment now, JsonGenerator writer)
      throws IOException, MalformedBatchException {
    switch (name) {
      case "demand" -> demand(message, now, writer);
      case "resumed" -> resumed(message, now, writer);
      case "headers" -> {
        WireViewing viewing = viewings.get(message.readLong("job"));
        message.skip();
        message.readLong("rttUs", 0);
        message.skipRest();
        if (viewing != null) {
          call(now, writer, () -> viewing.policyViewing.playbackStarted());
        }
      }
      case "completed" -> completed(message, now, writer);
      case "cancelledByClient" -> {
        WireViewing viewing = viewings.get(message.readLong("job"));
        message.skipRest();
        if (viewing != null) {
          viewing.answered = true;
          call(now, writer, () -> viewing.policyViewing.viewerLeft());
          removeIfComplete(viewing);
        }
      }
      case "statusNote" -> {
        WireViewing viewing = viewings.get(message.readLong("job"));
        message.skip();
        double level = message.readDouble("level", Double.NaN);
        int topic = message.readInt("topic", 0);
        message.skipRest();
        if (viewing != null && !Double.isNaN(level)) {
          call(now, writer, () -> applyNote(viewing, topic, level));
        }
      }
      case "sampled" -> {
        BoxTable.Entry box = boxes.get(message.readLong("server"));
        int status = message.readInt("how");
        message.readLong("rttUs", 0);
        Map<?, ?> load = message.readObject("feedback");
        message.skipRest();
        if (box != null) {
          call(
              now,
              writer,
              () -> {
                applyLoad(box, load);
                box.mediaBox().probeEnded(status == 200);
              });
        }
      }
      case "reminder" -> {
        Runnable step = pendingSteps.remove(message.readText("nonce"));
        message.skipRest();
        if (step != null) {
          call(now, writer, step::run);
        }
      }
      case "mail" -> {
        int peer = message.readInt("neighbour");
        String octets = message.readText("octets");
        message.skipRest();
        call(now, writer, () -> deliverMail(peer, octets));
      }
      default -> message.skipRest();
    }
    for (WireViewing viewing : answeredViewings) {
      removeIfComplete(viewing);
    }
    answeredViewings.clear();
  }

  private void demand(Message message, Moment now, JsonGenerator writer)
      throws IOException, MalformedBatchException {
    long id = message.readLong("job");
    String title = message.readText("item");
    Span timeLimit = new Span(message.readLong("budgetUs"));
    message.skip();
    PackageSettings packageSettings = packageSettings(message.readInt("type"));
    int fromCell = message.readInt("fromCell", 0);
    message.skip();
    message.skip();
    int cells = message.readInt("cellsInRow", 0);
    int ceiling = message.readInt("ceilingRung", packageSettings.highestRung());
    message.skipRest();
    call(
        now,
        writer,
        () -> {
          WireViewing viewing = addViewing(id, title);
          viewing.policyViewing =
              policy.requestViewing(
                  viewing,
                  packageSettings,
                  titles.acquire(title, fromCell, cells),
                  ceiling,
                  timeLimit);
          removeIfComplete(viewing);
        });
  }

  private void resumed(Message message, Moment now, JsonGenerator writer)
      throws IOException, MalformedBatchException {
    long id = message.readLong("job");
    PackageSettings packageSettings = packageSettings(message.readInt("type"));
    message.skip();
    message.skip();
    String title = message.readText("title");
    message.skip();
    message.skip();
    int fromCell = message.readInt("fromCell", 0);
    int cells = message.readInt("cellsInRow", 0);
    int ceiling = message.readInt("ceilingRung", packageSettings.highestRung());
    message.skip();
    BoxTable.Entry box = boxes.getOrAdd(message.readLong("server"));
    message.skipRest();
    call(
        now,
        writer,
        () -> {
          WireViewing viewing = addViewing(id, title);
          viewing.tuneInActive = true;
          viewing.policyViewing =
              policy.adoptViewing(
                  viewing,
                  packageSettings,
                  titles.acquire(title, fromCell, cells),
                  ceiling,
                  box.mediaBox());
        });
  }

  private void completed(Message message, Moment now, JsonGenerator writer)
      throws IOException, MalformedBatchException {
    WireViewing viewing = viewings.get(message.readLong("job"));
    message.skip();
    boolean viewingOver = message.readBoolean("terminal");
    int status = message.readInt("how");
    message.readLong("rttUs", 0);
    Long server = message.readLong("server", -1);
    Map<?, ?> load = message.readObject("feedback");
    message.skipRest();
    AttemptOutcome outcome =
        switch (status) {
          case 200 -> AttemptOutcome.FINISHED;
          case 502 -> AttemptOutcome.ERROR;
          case 429 -> AttemptOutcome.TURNED_AWAY;
          case 408 -> AttemptOutcome.NO_ANSWER;
          case 521 -> AttemptOutcome.NOT_REACHED;
          case 520 -> AttemptOutcome.BROKEN;
          case 444 -> AttemptOutcome.WITHDRAWN;
          case 409 -> AttemptOutcome.NEVER_SENT;
          default -> throw new MalformedBatchException("unknown outcome " + status);
        };
    BoxTable.Entry box = boxes.get(server);
    call(
        now,
        writer,
        () -> {
          if (box != null) {
            applyLoad(box, load);
          }
          if (viewing != null) {
            viewing.tuneInActive = false;
            viewing.answered |= viewingOver;
            // The simulator reports the end of an attempt once it is over at its server.
            viewing.policyViewing.tuneInEnded(outcome, viewingOver, true);
            removeIfComplete(viewing);
          }
        });
  }

  /** The topic says what the level is: a share, a rung, a load of the link or of the uplink. */
  private static void applyNote(WireViewing viewing, int topic, double level) {
    switch (topic) {
      case 1 -> viewing.policyViewing.shareDelivered(level);
      case 2 -> viewing.policyViewing.rungReported((int) level);
      case 3 -> viewing.policyViewing.loadsReported(level, Double.NaN);
      case 4 -> viewing.policyViewing.loadsReported(Double.NaN, level);
      default -> {}
    }
  }

  /** The keys hold the load of the link (x0) and the uplink (x1), and the number of streams. */
  private static void applyLoad(BoxTable.Entry box, Map<?, ?> load) {
    if (!load.isEmpty()) {
      box.mediaBox()
          .loadReported(
              loadValue(load, "x0"), loadValue(load, "x1"), loadValue(load, "outstanding"));
    }
  }

  private static double loadValue(Map<?, ?> load, String key) {
    return load.get(key) instanceof Double number ? number : Double.NaN;
  }

  private PackageSettings packageSettings(int type) throws MalformedBatchException {
    if (type < 0 || type >= packages.size()) {
      throw new MalformedBatchException("'type' names no package: " + type);
    }
    return packages.get(type);
  }

  private WireViewing addViewing(long id, String titleName) {
    WireViewing viewing = new WireViewing(id, titleName);
    viewings.put(id, viewing);
    return viewing;
  }

  private void removeIfComplete(WireViewing viewing) {
    if (viewing.answered && !viewing.tuneInActive && viewings.remove(viewing.id, viewing)) {
      titles.release(viewing.titleName);
    }
  }

  @Override
  public void schedule(Span span, Runnable step) {
    String token = Long.toString(nextStepNumber++, 36);
    pendingSteps.put(token, step);
    writeAction("notifyMe", span.micros(), token);
  }

  @Override
  public void sendUsage(
      int front, Policy.MediaBox box, int viewings, double kb, double uplinkShare) {
    sendToPeer(front, PeerMessages.encodeReport(box, viewings, kb, uplinkShare));
  }

  @Override
  public void sendRackUsage(
      int front,
      Policy.MediaBox box,
      int othersViewings,
      double othersKb,
      double rackKb,
      double rackSizeKb) {
    sendToPeer(front, PeerMessages.encodeReply(box, othersViewings, othersKb, rackKb, rackSizeKb));
  }

  private void sendToPeer(int front, byte[] bytes) {
    writeAction("say", front, Base64.getEncoder().encodeToString(bytes));
  }

  private void deliverMail(int peer, String octets) throws MalformedBatchException {
    byte[] bytes;
    try {
      bytes = Base64.getDecoder().decode(octets);
    } catch (IllegalArgumentException e) {
      throw new MalformedBatchException("'octets' should be base64");
    }
    PeerMessages.deliver(boxes, peer, bytes);
  }

  private void writeAction(String name, Object... values) {
    try {
      generator.writeStartArray();
      generator.writeString(name);
      generator.writeNumber(number);
      for (Object value : values) {
        if (value instanceof String text) {
          generator.writeString(text);
        } else {
          generator.writeNumber(((Number) value).longValue());
        }
      }
      generator.writeEndArray();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
