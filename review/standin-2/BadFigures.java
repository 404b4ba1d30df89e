import java.util.ArrayList;
import java.util.List;

/**
 * Bad clients ask for real titles with a figure out of range: no cell holds the title. They may not
 * be served, and the set-ups of usual viewers have to go on to servers that hold their titles.
 */
final class BadFigures {
  private static final int SERVERS = 13;
  private static final int PLACES = 12;

  public static void main(String[] args) throws Exception {
    Kit.run(args, BadFigures::play);
  }

  private static int play() throws Exception {
    Kit.Journal journal = new Kit.Journal();
    List<Kit.Server> servers = new ArrayList<>();
    List<String> rows = new ArrayList<>();
    for (int i = 0; i < SERVERS; i++) {
      Kit.Server server =
          new Kit.Server(0x00c41f00 + i, i % PLACES, tag -> 18_000 + Math.floorMod(tag.hashCode() * 31, 30_000), 64);
      // A server answers with 'error' what it can't use: a title that it does not hold.
      server.holds =
          tag -> {
            Kit.Request request = Kit.REQUESTS.get(Long.parseUnsignedLong(tag, 16));
            return request != null && Math.floorMod(server.cell - home(request.title), PLACES) < 3;
          };
      servers.add(server);
      rows.add(Kit.row(server, "up", 0));
    }
    Kit.Front front =
        new Kit.Front(
            Kit.freePort(),
            512,
            journal.port(),
            String.join(",", rows),
            settings());
    List<Kit.Client> clients = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      clients.add(new Kit.Client(front.port));
    }
    List<Kit.Request> bad = new ArrayList<>();
    if (Kit.trouble()) {
      Kit.Client client = new Kit.Client(front.port);
      for (int i = 0; i < 8; i++) {
        bad.add(client.setUp("recorded", title(i % 4), "home:" + home(title(i % 4)) + ";copies:0;top:4;viewer:00000000b4d65522", 3000));
      }
      Kit.sleep(400);
    }
    List<Kit.Request> usual = new ArrayList<>();
    for (int i = 0; i < 60; i++) {
      String title = title(i % 4);
      usual.add(
          clients.get(i % 8).setUp("recorded", title, "home:" + home(title) + ";copies:3;top:4;viewer:00000000b4d65521", 3000));
      Kit.sleep(200);
    }
    Kit.sleep(3500);
    front.copyLog();
    int wrong = 0;
    int sent = 0;
    for (Kit.Server server : servers) {
      for (String[] start : server.starts) {
        Kit.Request request = Kit.REQUESTS.get(Long.parseUnsignedLong(start[0], 16));
        if (!usual.contains(request)) {
          continue;
        }
        sent++;
        if (Math.floorMod(server.cell - home(request.title), PLACES) >= 3) {
          wrong++;
          Kit.log(
              "wrong server: a usual viewer's set-up " + start[0] + " of title " + start[1] + ", held by cells "
                  + home(request.title) + " to " + (home(request.title) + 2) + ", went to " + server.name()
                  + " in cell " + server.cell);
        }
      }
    }
    long notServed = usual.stream().filter(request -> !request.played).count();
    long served = bad.stream().filter(request -> request.played).count();
    Kit.say(
        usual.size() + " usual requests, " + sent + " set-ups of theirs sent, " + wrong
            + " to servers without the title, " + notServed + " not served; " + served + " of " + bad.size()
            + " bad requests served");
    return sent < 40 ? Kit.CANNOT_RUN : wrong > 0 || served > 0 ? Kit.BROKEN : Kit.HELD;
  }

  /** The settings of home-exercise-cairo: no probes, five tune-ins at most, load in answers. */
  private static String settings() {
    return Kit.settings(3, Kit.LIMITS, Kit.GUARANTEES, Kit.domain(PLACES, 2, SERVERS), Kit.CLASSES)
        .replace("\"maxAttempts\":3", "\"maxAttempts\":5")
        .replace("\"probing\":true", "\"probing\":false")
        .replace("\"maxRetryAfterUs\":2000000", "\"maxRetryAfterUs\":500000")
        .replace("\"drainGraceUs\":1000000", "\"drainGraceUs\":2000000")
        .replace("\"fallMultiple\":2.5", "\"fallMultiple\":2.0")
        .replace("\"tipAfterUs\":1500000", "\"tipAfterUs\":3000000")
        .replace("{\"fields\":[\"outstanding\",\"x0\",\"x1\"],\"how\":\"pull\"}",
            "{\"fields\":[\"utilization\"],\"how\":\"piggyback\"}")
        .replace("\"highestRung\":[4,4]", "\"highestRung\":[2,4]")
        .replace("\"probe\":0.0078", "\"probe\":0")
        .replace("\"name\":\"lesson\"", "\"name\":\"recorded\"")
        .replace("\"name\":\"season-review\"", "\"name\":\"live\"")
        .replace("\"aimUs\":800000", "\"aimUs\":1500000");
  }

  private static String title(int i) {
    return "7f3a9c21e0b4d60" + i;
  }

  private static int home(String title) {
    return 3 * (title.charAt(title.length() - 1) - '0');
  }
}
