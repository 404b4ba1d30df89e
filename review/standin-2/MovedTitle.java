import java.util.ArrayList;
import java.util.List;

/**
 * A title is moved from three cells to three others while viewings of it play. Each request tells
 * which cells hold its title, so a request made after the move may go to the new cells alone.
 */
final class MovedTitle {
  private static final int SERVERS = 13;
  private static final int PLACES = 12;

  public static void main(String[] args) throws Exception {
    Kit.run(args, MovedTitle::play);
  }

  private static int play() throws Exception {
    Kit.Journal journal = new Kit.Journal();
    List<Kit.Server> servers = new ArrayList<>();
    List<String> rows = new ArrayList<>();
    for (int i = 0; i < SERVERS; i++) {
      Kit.Server server =
          new Kit.Server(0x00c41f00 + i, i % PLACES, tag -> 18_000 + Math.floorMod(tag.hashCode() * 31, 30_000), 64);
      servers.add(server);
      rows.add(Kit.row(server, "up", 0));
    }
    Kit.Front front =
        new Kit.Front(
            Kit.freePort(),
            512,
            journal.port(),
            String.join(",", rows),
            Kit.settings(3, Kit.LIMITS, Kit.GUARANTEES, Kit.domain(PLACES, 2, SERVERS), Kit.CLASSES));
    List<Kit.Client> clients = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      clients.add(new Kit.Client(front.port));
    }
    // Four titles, each asked for once a second; the first one moves from cells 0 to 2 to 6 to 8.
    String[] titles = {"7f3a9c21e0b4d655", "11aa9c21e0b4d600", "22bb9c21e0b4d600", "33cc9c21e0b4d600"};
    int[] homes = {0, 2, 5, 9};
    List<Kit.Request> requests = new ArrayList<>();
    for (int second = 0; second < 24; second++) {
      if (second == 12 && Kit.trouble()) {
        homes[0] = 6;
        Kit.log("title " + titles[0] + " lies in cells 6 to 8 from now on, no longer in 0 to 2");
      }
      for (int i = 0; i < 4; i++) {
        requests.add(
            clients
                .get((second + i) % 8)
                .setUp(
                    "lesson",
                    titles[i],
                    "home:" + homes[i] + ";copies:3;top:2;viewer:00000000b4d65521",
                    3000));
        Kit.sleep(250);
      }
    }
    Kit.sleep(3500);
    front.copyLog();
    int wrong = 0;
    int sent = 0;
    for (Kit.Server server : servers) {
      for (String[] start : server.starts) {
        Kit.Request request = Kit.REQUESTS.get(Long.parseUnsignedLong(start[0], 16));
        sent++;
        int home = Integer.parseInt(request.figures.substring(5, request.figures.indexOf(';')));
        if (Math.floorMod(server.cell - home, PLACES) >= 3) {
          wrong++;
          Kit.log(
              "wrong server: set-up " + start[0] + " of title " + start[1] + ", held by cells " + home + " to "
                  + (home + 2) + ", went to " + server.name() + " in cell " + server.cell);
        }
      }
    }
    Kit.say(requests.size() + " requests, " + sent + " set-ups sent, " + wrong + " to servers without the title");
    return sent < 50 ? Kit.CANNOT_RUN : wrong > 0 ? Kit.BROKEN : Kit.HELD;
  }
}
