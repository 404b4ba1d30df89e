package linengauge.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.http.HttpMethod;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** Over HTTP: a request goes to the same box again only once that has answered the end before. */
class RetryOrderSocketsTest {
  private static final String SETTINGS =
      "desk: { idleMs: 60000 }, stop: { playingMs: 100 }, rules: { coldMs: 0 },"
          + " boxes: { endRetryMs: 50 }";
  private static final int ANSWERS_ENDS_AFTER_MS = 150;

  private static String answered(int tuneIn) {
    return "answered tuneIn=" + tuneIn;
  }

  /** Ends are answered late, and noted as they are. */
  private static void answersEndsLate(FrontFixture rig, FrontFixture.ScriptedBox box) {
    box.others =
        request -> {
          if (request.method() == HttpMethod.DELETE) {
            rig.vertx.setTimer(
                ANSWERS_ENDS_AFTER_MS,
                t -> {
                  box.seen.add(answered(Integer.parseInt(request.getParam("tuneIn"))));
                  request.response().setStatusCode(404).end();
                });
          } else {
            request.response().end();
          }
        };
  }

  private static void eachAttemptFollowsTheAnsweredEndOfTheOneBefore(FrontFixture.ScriptedBox box) {
    List<String> seen = List.copyOf(box.seen);
    int attempts = 0;
    for (int i = 0; i < seen.size(); i++) {
      if (seen.get(i).startsWith("PUT")) {
        assertTrue(
            attempts == 0 || seen.subList(0, i).contains(answered(attempts - 1)), seen.toString());
        attempts++;
      }
    }
    assertTrue(attempts > 1, "tried again once it was confirmed: " + seen);
  }

  /** Guards against a retry that a box reads before the end of the attempt that timed out. */
  @Test
  void afterATimeOutTheSameBoxIsTriedOnceItHasAnsweredTheEnd() throws Exception {
    try (FrontFixture rig = new FrontFixture(1, SETTINGS).start()) {
      FrontFixture.ScriptedBox box = rig.boxes.get(0);
      answersEndsLate(rig, box);
      box.setUps =
          request -> {
            if (box.saw("PUT") > 1) {
              box.plays(request);
            }
          };
      CompletableFuture<HttpResponse<String>> joined = rig.joins("");
      assertEquals(200, joined.join().statusCode());
      eachAttemptFollowsTheAnsweredEndOfTheOneBefore(box);
    }
  }

  /** Guards against an attempt that goes on at a box after its connection broke or was spoilt. */
  @Test
  void afterABreakOrASpoiltAnswerTheBoxIsToldTheEndBeforeItIsTriedAgain() throws Exception {
    for (boolean breaks : new boolean[] {true, false}) {
      try (FrontFixture rig = new FrontFixture(1, SETTINGS).start()) {
        FrontFixture.ScriptedBox box = rig.boxes.get(0);
        answersEndsLate(rig, box);
        box.setUps =
            request -> {
              if (box.saw("PUT") > 1) {
                box.plays(request);
              } else if (breaks) {
                request.connection().close();
              } else {
                request.response().setStatusCode(201).end("<html>");
              }
            };
        CompletableFuture<HttpResponse<String>> joined = rig.joins("");
        joined.join();
        eachAttemptFollowsTheAnsweredEndOfTheOneBefore(box);
      }
    }
  }
}
