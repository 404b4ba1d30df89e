import java.util.ArrayList;
import java.util.List;

/**
 * Viewings play at thirteen sound servers. Then the next connections to the three servers that hold
 * one title come up late, while what is open goes on working. Every viewing has to go on.
 */
final class LateConnection {
  private static final int SERVERS = 13;
  private static final int PLACES = 12;

  public static void main(String[] args) throws Exception {
    Kit.run(args, LateConnection::play);
  }

  private static int play() throws Exception {
    Kit.Journal journal = new Kit.Journal();
    List<Kit.Server> servers = new ArrayList<>();
    List<String> rows = new ArrayList<>();
    for (int i = 0; i < SERVERS; i++) {
      // Viewings outlast the case: none comes to its end by itself.
      Kit.Server server = new Kit.Server(0x00c41f00 + i, i % PLACES, tag -> 0, 1);
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
    // Thin traffic: three viewings a second for eight seconds. No viewer can use more than the
    // second rung, so nothing has to be stepped up afterwards.
    for (int i = 0; i < 24; i++) {
      clients.get(i % 8).setUp("lesson", "7f3a9c21e0b4d60" + i % 4, figures(3 * (i % 4)), 3000);
      Kit.sleep(330);
    }
    Kit.sleep(3000);
    // The next connections to the three holders of one title come up 1 s late.
    List<Kit.Server> late = servers.subList(0, 3);
    if (Kit.trouble()) {
      for (Kit.Server server : late) {
        server.stopAccepting();
      }
      Kit.log("new connections to " + late.get(0).name() + " and the next two come up late from now on");
    }
    // Some viewers ask for that title at the same moment.
    for (int i = 0; i < 9; i++) {
      clients.get(i % 8).setUp("lesson", "7f3a9c21e0b4d600", figures(0), 3000);
    }
    Kit.sleep(1000);
    if (Kit.trouble()) {
      late.forEach(Kit.Server::startAccepting);
      Kit.log("connections come up at once again");
    }
    Kit.sleep(9000);
    front.copyLog();
    if (!front.process.isAlive()) {
      Kit.say("the front has ended");
      return Kit.BROKEN;
    }
    int cut = 0;
    int played = 0;
    for (Kit.Request request : Kit.REQUESTS.values()) {
      Kit.Stood stood = Kit.STOOD.get(request.tag());
      if (!request.played || stood == null) {
        continue;
      }
      played++;
      if (request.releasedAt > 0 && !request.endedByViewer && !stood.why.equals("came to its end")) {
        cut++;
        Kit.log(
            "cut by the front: " + request.tag() + " at " + stood.server.name() + ", cause "
                + request.releaseCause + ", " + (request.releasedAt - request.answeredAt)
                + " ms after its answer; the server " + (stood.overAt == 0 ? "still plays it" : stood.why));
      }
    }
    Kit.say(played + " viewings played, " + cut + " of them were cut by the front at servers that run");
    return played < 20 ? Kit.CANNOT_RUN : cut > 0 ? Kit.BROKEN : Kit.HELD;
  }

  private static String figures(int home) {
    return "home:" + home + ";copies:3;top:1;viewer:00000000b4d65521";
  }
}
