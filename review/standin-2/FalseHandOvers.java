import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Bad clients hand over viewings that no server knows, and go. Usual viewers who come after that have
 * to be answered in time, and viewings that are over have to be released in time.
 */
final class FalseHandOvers {
  private static final int BAD_CLIENTS = 20;
  private static final int REQUESTS_EACH = 350;
  private static final int TITLES = 960;

  public static void main(String[] args) throws Exception {
    Kit.run(args, FalseHandOvers::play);
  }

  private static int play() throws Exception {
    List<String> rows = VastFleet.start();
    Kit.Journal journal = new Kit.Journal();
    Kit.Front front =
        new Kit.Front(Kit.freePort(), 1024, journal.port(), String.join(",", rows), VastFleet.settings());
    List<Kit.Client> clients = new ArrayList<>();
    for (int i = 0; i < 30; i++) {
      clients.add(new Kit.Client(front.port));
    }
    long start = Kit.millis();
    long judgedFrom = start + 25_000;
    long lastSent = start + 48_000;
    List<Kit.Request> usual = new ArrayList<>();
    int unreached = 0;
    int bad = 0;
    while (Kit.millis() < lastSent && front.process.isAlive()) {
      long now = Kit.millis();
      while (usual.size() + unreached < (now - start) * 25 / 1000) {
        int i = usual.size() + unreached;
        try {
          usual.add(clients.get(i % 30).setUp("origin-film", title(i), figures(i), 3000));
        } catch (IOException e) {
          unreached++;
          Kit.log("no connection to the front: " + e);
        }
      }
      // One bad client after the other within 2 s; each goes 6 s after it has come.
      if (Kit.trouble() && bad < BAD_CLIENTS && now > start + 10_000 + 100L * bad) {
        int number = bad++;
        Kit.spawn(() -> handOver(front.port, number));
      }
      Kit.sleep(5);
    }
    Kit.sleep(8000);
    long end = Kit.millis();
    front.copyLog();
    if (!front.process.isAlive()) {
      Kit.say("the front has ended");
      return Kit.BROKEN;
    }
    int judged = 0;
    int late = 0;
    int over = 0;
    int lateReleases = 0;
    Map<String, Integer> answers = new TreeMap<>();
    for (Kit.Request request : usual) {
      if (request.sentAt >= judgedFrom) {
        judged++;
        String answer = request.answer == null ? "none" : request.answer.startsWith("a-") ? "served" : request.answer;
        answers.merge(answer, 1, Integer::sum);
        if (request.answers == 0 || request.answeredAt > request.sentAt + request.left + 550) {
          late++;
          Kit.log("lost: the answer to " + request.tag() + " came "
              + (request.answers == 0 ? "never" : request.answeredAt - request.sentAt + " ms after the set-up"));
        }
      }
      Long releasedByServer = VastFleet.RELEASED.get(request.tag());
      if (request.played && releasedByServer != null && releasedByServer >= judgedFrom && releasedByServer < end - 8050) {
        over++;
        if (request.releasedAt == 0 || request.releasedAt > releasedByServer + 1050) {
          lateReleases++;
          Kit.log("not released in time: " + request.tag() + ", released "
              + (request.releasedAt == 0 ? "never" : request.releasedAt - releasedByServer + " ms after its server's release"));
        }
      }
    }
    Kit.say(judged + " usual requests after the bad clients had gone: answers " + answers + ", " + late
        + " of them later than 0.5 s after their time or never; " + over + " viewings over, " + lateReleases
        + " not released within 1 s");
    return judged < 300 || over < 100 ? Kit.CANNOT_RUN : late + lateReleases > 0 ? Kit.BROKEN : Kit.HELD;
  }

  /** A bad client: hundreds of requests at once, each with an id that no server knows. */
  private static void handOver(int port, int number) {
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    for (int i = number * REQUESTS_EACH; i < (number + 1) * REQUESTS_EACH; i++) {
      all.writeBytes(
          Kit.message(
              1, 0x7700000000000000L + i, 33, "origin-film", 41, title(i), 43,
              figures(i) + String.format(";at:s-%08x", VastFleet.BOXES.get(i % VastFleet.SERVERS).id), 63, "d"));
    }
    try (Socket socket = new Socket("127.0.0.1", port)) {
      socket.getOutputStream().write(all.toByteArray());
      Kit.log("bad client " + number + " has handed over " + REQUESTS_EACH + " viewings that no server knows");
      long until = Kit.millis() + 6000;
      byte[] received = new byte[4096];
      socket.setSoTimeout(500);
      while (Kit.millis() < until) {
        try {
          if (socket.getInputStream().read(received) < 0) {
            break;
          }
        } catch (java.net.SocketTimeoutException e) {
          // Nothing has come.
        }
      }
    } catch (IOException e) {
      Kit.log("bad client " + number + ": " + e);
    }
    Kit.log("bad client " + number + " has gone");
  }

  private static String title(int i) {
    return String.format("7f3a9c21e0b4d%03x", i % TITLES);
  }

  private static String figures(int i) {
    return "home:" + i % TITLES % VastFleet.PLACES + ";copies:4;top:2;viewer:00000000b4d65521";
  }
}
