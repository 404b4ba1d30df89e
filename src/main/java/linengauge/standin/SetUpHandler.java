package linengauge.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Handles the set-ups of one stand-in box; its faults and available capacity decide the outcome.
 */
final class SetUpHandler {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int FAILS_AFTER_MS = 2;

  /** One request for a viewing. */
  private static final class SetUp {
    private final HttpServerRequest request;
    private final String id;
    private final int front;
    private final int tuneIn;
    private final String title;
    private final String packageName;
    private final int rung;
    private boolean answered;

    private SetUp(HttpServerRequest request, String id, JsonNode fields) {
      this.request = request;
      this.id = id;
      this.front = fields.path("front").asInt(-1);
      this.tuneIn = fields.path("tuneIn").asInt();
      this.title = fields.path("title").asText();
      this.packageName = fields.path("package").asText();
      this.rung = fields.path("rung").asInt();
    }
  }

  private final Vertx vertx;
  private final StandInBox box;
  private final BoxFleet.BoxSpec spec;
  private final BoxViewings viewings;
  private final MediaRates rates;
  private final SplittableRandom random;
  private final Tap tap;

  /** The times of set-ups that arrived while the box was cold, within the window that counts. */
  private final List<Long> coldSetUps = new ArrayList<>();

  SetUpHandler(
      Vertx vertx,
      StandInBox box,
      BoxFleet.BoxSpec spec,
      BoxViewings viewings,
      MediaRates rates,
      SplittableRandom random,
      Tap tap) {
    this.vertx = vertx;
    this.box = box;
    this.spec = spec;
    this.viewings = viewings;
    this.rates = rates;
    this.random = random;
    this.tap = tap;
  }

  /** Clears the history when the box starts. */
  void reset() {
    coldSetUps.clear();
  }

  void handle(HttpServerRequest request, String id, Buffer body) {
    JsonNode fields;
    try {
      fields = JSON.readTree(body.getBytes());
    } catch (IOException e) {
      box.answer(request, 400, "");
      return;
    }
    SetUp setUp = new SetUp(request, id, fields);
    recordRequest(setUp, fields.path("key").asText(null));
    request.response().closeHandler(v -> onClosed(setUp));
    if (box.faults().isUnresponsive() || failsFromColdOverload()) {
      return;
    }
    if (mustReject(setUp)) {
      reject(setUp);
    } else {
      begin(setUp);
    }
  }

  private void onClosed(SetUp setUp) {
    if (!setUp.answered) {
      setUp.answered = true;
      viewings.endSetUp(setUp.id, setUp.request);
      tap.recordEvent(
          "set-up-broken", "box", box.location().id(), "viewing", setUp.id, "tuneIn", setUp.tuneIn);
    }
  }

  private boolean mustReject(SetUp setUp) {
    return box.faults().draining
        || viewings.usedStreams() >= spec.streams()
        || viewings.hasEnded(setUp.id, setUp.tuneIn)
        || viewings.isRunning(setUp.id);
  }

  private void reject(SetUp setUp) {
    setUp.answered = true;
    recordAnswer(setUp, "turned-away");
    setUp.request.response().putHeader("Never-Ran", "true");
    box.answer(setUp.request, 503, "");
  }

  private void begin(SetUp setUp) {
    boolean fails = random.nextDouble() < box.faults().failureRate;
    long ms = fails ? FAILS_AFTER_MS : drawDuration();
    viewings.beginSetUp(setUp.id, setUp.request);
    int life = box.life();
    vertx.setTimer(
        ms,
        t -> {
          if (setUp.answered
              || box.life() != life
              || !viewings.endSetUp(setUp.id, setUp.request)
              || box.faults().isUnresponsive()) {
            return;
          }
          if (fails) {
            fail(setUp);
          } else {
            run(setUp);
          }
        });
  }

  private long drawDuration() {
    double usual = spec.setUpMs() * box.faults().slowdownFactor;
    return Math.max(1, Math.round(usual * (0.5 + random.nextDouble()) / box.availableCapacity()));
  }

  private void fail(SetUp setUp) {
    setUp.answered = true;
    recordAnswer(setUp, "error");
    box.answer(setUp.request, 500, "");
  }

  private void run(SetUp setUp) {
    double kb = rates.rate(setUp.title, setUp.packageName, setUp.rung);
    RunningViewing viewing =
        new RunningViewing(setUp.id, setUp.title, setUp.packageName, setUp.rung, kb);
    viewings.start(viewing);
    if (random.nextDouble() < box.faults().answerLossRate) {
      recordAnswer(setUp, "swallowed");
      if (box.faults().resetsOnLostAnswer) {
        setUp.request.connection().close();
      }
      return; // The viewing runs, but the front receives no answer.
    }
    setUp.answered = true;
    recordAnswer(setUp, "plays");
    setUp.request.response().putHeader("Content-Type", "application/vnd.apple.mpegurl");
    box.answer(setUp.request, 201, playlist(viewing));
    if (spec.reportsLoadInAnswers()) {
      box.sendLinkLoad(setUp.front, 0);
    }
  }

  private String playlist(RunningViewing viewing) {
    return box.faults().badPlaylists
        ? StandInPlaylists.broken()
        : StandInPlaylists.multivariant(viewing, rates, spec.ladderKb().length);
  }

  /** A cold box that is overloaded fails and stays down. */
  private boolean failsFromColdOverload() {
    long now = System.currentTimeMillis();
    if (!box.isCold(now)) {
      return false;
    }
    coldSetUps.removeIf(at -> at < now - spec.fallAfterMs());
    coldSetUps.add(now);
    double pace = spec.streams() * 1000.0 / spec.coldMs() * box.availableCapacity();
    double most = Math.max(1, spec.fallMultiple() * pace * spec.fallAfterMs() / 1000);
    if (coldSetUps.size() <= most) {
      return false;
    }
    tap.recordEvent("box-fell", "box", box.location().id());
    box.becomeUnreachable();
    return true;
  }

  private void recordRequest(SetUp setUp, String key) {
    tap.recordEvent(
        "set-up",
        "box",
        box.location().id(),
        "viewing",
        setUp.id,
        "front",
        setUp.front,
        "tuneIn",
        setUp.tuneIn,
        "title",
        setUp.title,
        "package",
        setUp.packageName,
        "rung",
        setUp.rung,
        "key",
        key);
  }

  private void recordAnswer(SetUp setUp, String how) {
    tap.recordEvent(
        "set-up-answered",
        "box",
        box.location().id(),
        "viewing",
        setUp.id,
        "tuneIn",
        setUp.tuneIn,
        "how",
        how);
  }
}
