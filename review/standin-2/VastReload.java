import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;

/**
 * A front sees a rolling deploy of the largest fleet and is then sent a new configuration, whose
 * `known` holds the journal service's events up to now. It has to live on.
 */
final class VastReload {
  private static final int WAVES = 6;
  private static final int WAVE = 490;

  public static void main(String[] args) throws Exception {
    Kit.run(args, VastReload::play);
  }

  private static int play() throws Exception {
    List<String> rows = VastFleet.start();
    Kit.Journal journal = new Kit.Journal();
    Kit.Front front =
        new Kit.Front(
            Kit.freePort(),
            1024,
            journal.port(),
            String.join(",", rows),
            VastFleet.settings());
    String started = Files.readString(front.config);
    StringBuilder known = new StringBuilder();
    List<Kit.Client> clients = new ArrayList<>();
    for (int i = 0; i < 30; i++) {
      clients.add(new Kit.Client(front.port));
    }
    long start = Kit.millis();
    int sent = 0;
    int event = 1;
    int step = 0;
    boolean told = false;
    long end = start + 64_000;
    while (Kit.millis() < end && front.process.isAlive()) {
      long now = Kit.millis();
      while (sent < (now - start) * 25 / 1000) {
        try {
          clients.get(sent % 30).setUp(
              "brew-guide",
              String.format("7f3a9c21e0b4d%03x", sent % 960),
              "home:" + sent % 960 % VastFleet.PLACES + ";copies:4;top:2;viewer:00000000b4d65521",
              5000);
        } catch (IOException e) {
          Kit.log("no connection to the front: " + e);
        }
        sent++;
      }
      // A wave takes 6 s: its servers drain, and 3.5 s later they have gone and their successors are up.
      int wave = step / 2;
      if (wave < WAVES && now > start + 10_000 + 6000L * wave + (step % 2 == 0 ? 0 : 3500)) {
        List<byte[]> entries = new ArrayList<>();
        List<String> texts = new ArrayList<>();
        synchronized (VastFleet.class) {
          for (VastFleet.Box box : VastFleet.BOXES.subList(wave * WAVE, (wave + 1) * WAVE)) {
            if (step % 2 == 0) {
              entries.add(VastFleet.entry(box, 1, 0));
              texts.add(VastFleet.row(box, "draining", 0));
            } else {
              for (VastFleet.Link link : List.copyOf(box.links)) {
                link.channel.setOption(StandardSocketOptions.SO_LINGER, 0);
                link.channel.close();
              }
              box.links.clear();
              entries.add(VastFleet.entry(box, 2, 0));
              texts.add(VastFleet.row(box, "removed", 0));
              box.id += 0x00010000;
              entries.add(VastFleet.entry(box, 0, now));
              texts.add(VastFleet.row(box, "up", now));
            }
          }
        }
        event++;
        journal.publish((step % 2 == 0 ? "draining: " : "gone and succeeded: ") + WAVE, entries.toArray(new byte[0][]));
        known.append(",{\"pos\":" + event + ",\"hosts\":{\"rev\":" + event + ",\"all\":false,\"targets\":["
            + String.join(",", texts) + "]}}");
        step++;
      }
      if (!told && now > start + 50_000) {
        told = true;
        if (Kit.trouble()) {
          Kit.Journal moved = new Kit.Journal(journal);
          int at = started.indexOf("]}}]},\"settings\"") + 3;
          String next =
              (started.substring(0, at) + known + started.substring(at))
                  .replace("\"pos\":1,\"entries\"", "\"pos\":" + event + ",\"entries\"")
                  .replace("\"journal\":\"127.0.0.1:" + journal.port() + "\"", "\"journal\":\"127.0.0.1:" + moved.port() + "\"");
          Path file = Files.writeString(Kit.temporary.resolve("next.json"), next);
          Files.move(file, front.config, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
          Kit.log("a new configuration of " + next.length() + " bytes, journal at its new address");
          journal.retire();
          front.signal("HUP");
        }
      }
      Kit.sleep(5);
    }
    int played = 0;
    for (Kit.Request request : Kit.REQUESTS.values()) {
      played += request.played ? 1 : 0;
    }
    boolean alive = front.process.isAlive();
    front.copyLog();
    Kit.say(sent + " requests, " + played + " played, " + VastFleet.setUps + " set-ups sent; the front "
        + (alive ? "lives" : "has ended, exit " + front.process.exitValue()));
    return played < 100 ? Kit.CANNOT_RUN : alive ? Kit.HELD : Kit.BROKEN;
  }
}
