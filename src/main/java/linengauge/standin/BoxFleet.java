package linengauge.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Stand-in media boxes (docs/protocol/box.md), all on one event loop, with the links and uplinks
 * that they share. Each taps what it sees on its sockets before any trouble acts on it.
 */
public final class BoxFleet {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int TICK_MS = 100;
  private static final int SEGMENTS = 600;

  /** How much faster than it plays a segment is sent where the link gives all that is asked. */
  private static final double AHEAD = 1.25;

  /** What all boxes of a fleet have in common; spans in milliseconds. */
  public record Kind(
      int streams,
      double[] ladderKb,
      Map<String, Double> rateFactors,
      int setUpMs,
      int leaseMs,
      int seeMs,
      int tellMs,
      boolean loadInAnswers,
      boolean tellsUplink,
      int coldMs,
      double startCapacity,
      double fallMultiple,
      int fallAfterMs) {}

  /** The place of one box. */
  public record Place(long id, String host, int port, int cell, String building) {}

  private final Vertx vertx;
  private final Kind kind;
  private final Tap tap;
  private final Links links;
  private final SplittableRandom chance;
  private final List<Box> boxes = new ArrayList<>();
  private final Map<String, Double> trueRates = new LinkedHashMap<>();
  private int extraNoteMs;

  /**
   * Link and uplink sizes are drawn a quarter and a fifth up or down, as real ones lie off what is
   * told.
   */
  public BoxFleet(
      Vertx vertx,
      Kind kind,
      List<Place> places,
      int racks,
      double linkKb,
      double uplinkKb,
      long seed,
      Tap tap) {
    this.vertx = vertx;
    this.kind = kind;
    this.tap = tap;
    this.chance = new SplittableRandom(seed);
    double[] sizes = new double[places.size()];
    int[] rackOf = new int[places.size()];
    double[] uplinks = new double[racks];
    for (int i = 0; i < sizes.length; i++) {
      sizes[i] = linkKb * (0.8 + 0.4 * chance.nextDouble());
      rackOf[i] = places.get(i).cell() % racks;
    }
    for (int i = 0; i < racks; i++) {
      uplinks[i] = uplinkKb * (0.8 + 0.4 * chance.nextDouble());
    }
    this.links = new Links(sizes, rackOf, uplinks);
    for (int i = 0; i < places.size(); i++) {
      boxes.add(new Box(i, places.get(i)));
    }
  }

  /** Opens all boxes, warm. */
  public Future<?> open() {
    List<Future<?>> all = new ArrayList<>();
    for (Box b : boxes) {
      all.add(b.listen(false));
    }
    vertx.setPeriodic(1000, t -> boxes.forEach(Box::everySecond));
    vertx.setPeriodic(TICK_MS, t -> boxes.forEach(Box::tick));
    return Future.all(all);
  }

  public List<Box> boxes() {
    return boxes;
  }

  public int racks() {
    return links.racks();
  }

  public void uplinkGives(int rack, double part) {
    links.uplinkGives(rack, part);
  }

  /** Notes come this much later than usual. */
  public void notesLater(int ms) {
    extraNoteMs = ms;
  }

  public int viewings() {
    return boxes.stream().mapToInt(b -> b.viewings.size()).sum();
  }

  private double rate(String title, String pack, int rung) {
    double off = trueRates.computeIfAbsent(title, t -> 0.85 + 0.3 * chance.nextDouble());
    int r = Math.max(0, Math.min(rung, kind.ladderKb.length - 1));
    return kind.ladderKb[r] * kind.rateFactors.getOrDefault(pack, 1.0) * off;
  }

  /** A viewing that a box runs. */
  private static final class Running {
    private final String id;
    private final int front;
    private final String title;
    private final String pack;
    private int rung;
    private double kb;
    private long askedAt;

    private Running(String id, int front, String title, String pack, int rung) {
      this.id = id;
      this.front = front;
      this.title = title;
      this.pack = pack;
      this.rung = rung;
    }
  }

  /** A segment on its way; bytes go out with each tick. */
  private static final class Sending {
    private final Running of;
    private final HttpServerResponse to;
    private double left;
    private double due;

    private Sending(Running of, HttpServerResponse to, double bytes) {
      this.of = of;
      this.to = to;
      this.left = bytes;
    }
  }

  /** One stand-in box. Its troubles are set from outside, on the fleet's loop. */
  public final class Box {
    private final int number;
    private final Place place;
    private final Map<String, Running> viewings = new LinkedHashMap<>();

    /** Set-ups not answered yet, by id. */
    private final Map<String, HttpServerRequest> settingUp = new LinkedHashMap<>();

    /**
     * Ids that have ended here: a set-up that comes after its end is not run. Emptied oldest first.
     */
    private final Map<String, Integer> endedIds =
        new LinkedHashMap<>() {
          private static final long serialVersionUID = 1L;

          @Override
          protected boolean removeEldestEntry(Map.Entry<String, Integer> eldest) {
            return size() > 2000;
          }
        };

    private final Map<Integer, Set<HttpServerResponse>> listeners = new LinkedHashMap<>();
    private final Set<HttpConnection> connections = new LinkedHashSet<>();
    private final List<Sending> sending = new ArrayList<>();
    private final List<Long> coldSends = new ArrayList<>();
    private HttpServer server;
    private long startedAt = Long.MIN_VALUE / 2;
    private int life = 1;
    private boolean up;
    private boolean silent;
    private boolean hung;
    private boolean draining;
    private double failing;
    private double answersLost;
    private boolean resets;
    private double slower = 1;
    private boolean badPlaylists;

    private Box(int number, Place place) {
      this.number = number;
      this.place = place;
    }

    public Place place() {
      return place;
    }

    public boolean isUp() {
      return up;
    }

    /** Epoch milliseconds of a cold start; 0: long ago. */
    public long startedAtMillis() {
      return startedAt < 0 ? 0 : startedAt;
    }

    private Future<?> listen(boolean cold) {
      HttpServer s =
          vertx.createHttpServer(new HttpServerOptions().setTcpNoDelay(true).setReuseAddress(true));
      s.connectionHandler(
          c -> {
            connections.add(c);
            c.closeHandler(v -> connections.remove(c));
          });
      s.invalidRequestHandler(r -> r.connection().close());
      s.requestHandler(this::asked);
      server = s;
      return s.listen(place.port(), place.host())
          .onSuccess(
              v -> {
                up = true;
                draining = false;
                silent = false;
                coldSends.clear();
                startedAt = cold ? System.currentTimeMillis() : startedAt;
                tap.saw("box-started", "box", place.id(), "cold", cold, "streams", kind.streams);
              });
    }

    /* ---- troubles ---- */

    /** Set-ups fail with this chance. */
    public void failing(double part) {
      failing = part;
    }

    /**
     * Set-ups run, but their answers are lost with this chance: in silence, or with the connection.
     */
    public void answersLost(double part, boolean byReset) {
      answersLost = part;
      resets = byReset;
    }

    /** Takes work and answers nothing. */
    public void hung(boolean on) {
      hung = on;
    }

    /** Set-ups take so many times as long. */
    public void slower(double times) {
      slower = times;
    }

    public void badPlaylists(boolean on) {
      badPlaylists = on;
    }

    public void draining(boolean on) {
      draining = on;
    }

    public void linkGives(double part) {
      links.linkGives(number, part);
    }

    public void neighbourTakes(double part) {
      links.neighbourTakes(number, part);
    }

    /** The machine is gone without a word: its sockets stay open, and nothing is answered. */
    public void vanish() {
      silent = true;
      loseAll();
    }

    /** The process is gone: its sockets close, connections are refused. */
    public Future<?> close() {
      up = false;
      loseAll();
      for (HttpConnection c : List.copyOf(connections)) {
        c.close();
      }
      return server.close();
    }

    /** Started anew, cold. */
    public void restart() {
      life++;
      Future<?> down = up ? close() : Future.succeededFuture();
      down.onComplete(v -> listen(true));
    }

    private void loseAll() {
      tap.saw("box-lost", "box", place.id());
      for (Running r : List.copyOf(viewings.values())) {
        forget(r);
      }
      settingUp.clear();
      listeners.clear();
      sending.clear();
      endedIds.clear();
    }

    /* ---- requests ---- */

    private void asked(HttpServerRequest r) {
      String path = r.path() == null ? "" : r.path();
      r.response().exceptionHandler(e -> {});
      if (r.method() == HttpMethod.PUT && path.startsWith("/viewings/")) {
        r.body().onSuccess(body -> setUp(r, path.substring("/viewings/".length()), body));
        return;
      }
      if (r.method() == HttpMethod.PATCH && path.startsWith("/viewings/")) {
        r.body().onSuccess(body -> rung(r, path.substring("/viewings/".length()), body));
        return;
      }
      if (r.method() == HttpMethod.DELETE && path.startsWith("/viewings/")) {
        end(r, path.substring("/viewings/".length()));
        return;
      }
      if (silent || hung) {
        return;
      }
      if (path.equals("/load")) {
        answer(r, 200, "");
      } else if (path.equals("/notes")) {
        notes(r);
      } else if (path.startsWith("/viewings/")) {
        media(r, path.substring("/viewings/".length()));
      } else {
        answer(r, 404, "");
      }
    }

    private void answer(HttpServerRequest r, int status, String text) {
      if (!r.response().ended() && !r.response().closed()) {
        r.response()
            .setStatusCode(status)
            .putHeader("Load", load())
            .putHeader("Box-Life", Integer.toString(life))
            .putHeader("Box-Age-Ms", Long.toString(ageMs()))
            .end(text);
      }
    }

    private String load() {
      double noise = 0.96 + 0.08 * chance.nextDouble();
      String link =
          String.format(java.util.Locale.ROOT, "link=%.3f", links.linkLoad(number) * noise);
      return link
          + (kind.tellsUplink
              ? String.format(
                  java.util.Locale.ROOT, "; uplink=%.3f", links.uplinkLoad(number) * noise)
              : "")
          + "; streams="
          + (viewings.size() + settingUp.size());
    }

    private long ageMs() {
      return Math.min(999_999_999L, System.currentTimeMillis() - Math.max(0, startedAt));
    }

    private double warmth() {
      long age = System.currentTimeMillis() - startedAt;
      return age >= kind.coldMs
          ? 1
          : kind.startCapacity + (1 - kind.startCapacity) * age / kind.coldMs;
    }

    private void setUp(HttpServerRequest r, String id, Buffer body) {
      JsonNode ask;
      try {
        ask = JSON.readTree(body.getBytes());
      } catch (java.io.IOException e) {
        answer(r, 400, "");
        return;
      }
      int front = ask.path("front").asInt(-1);
      int tuneIn = ask.path("tuneIn").asInt();
      tap.saw(
          "set-up",
          "box",
          place.id(),
          "viewing",
          id,
          "front",
          front,
          "tuneIn",
          tuneIn,
          "title",
          ask.path("title").asText(),
          "package",
          ask.path("package").asText(),
          "rung",
          ask.path("rung").asInt(),
          "key",
          ask.path("key").asText(null));
      boolean[] answered = {false};
      r.response()
          .closeHandler(
              v -> {
                if (!answered[0]) {
                  answered[0] = true;
                  settingUp.remove(id, r);
                  tap.saw("set-up-broken", "box", place.id(), "viewing", id, "tuneIn", tuneIn);
                }
              });
      if (silent || hung || cold()) {
        return;
      }
      Integer ended = endedIds.get(id);
      if (draining
          || viewings.size() + settingUp.size() >= kind.streams
          || ended != null && ended >= tuneIn
          || viewings.containsKey(id)) {
        answered[0] = true;
        tap.saw(
            "set-up-answered",
            "box",
            place.id(),
            "viewing",
            id,
            "tuneIn",
            tuneIn,
            "how",
            "turned-away");
        r.response().putHeader("Never-Ran", "true");
        answer(r, 503, "");
        return;
      }
      boolean fails = chance.nextDouble() < failing;
      long ms =
          fails
              ? 2
              : Math.max(
                  1, Math.round(kind.setUpMs * slower * (0.5 + chance.nextDouble()) / warmth()));
      settingUp.put(id, r);
      int mine = life;
      vertx.setTimer(
          ms,
          t -> {
            if (answered[0] || life != mine || !settingUp.remove(id, r) || hung || silent) {
              return;
            }
            if (fails) {
              answered[0] = true;
              tap.saw(
                  "set-up-answered",
                  "box",
                  place.id(),
                  "viewing",
                  id,
                  "tuneIn",
                  tuneIn,
                  "how",
                  "error");
              answer(r, 500, "");
              return;
            }
            Running run =
                new Running(
                    id,
                    front,
                    ask.path("title").asText(),
                    ask.path("package").asText(),
                    ask.path("rung").asInt());
            run.askedAt = System.currentTimeMillis();
            run.kb = rate(run.title, run.pack, run.rung);
            viewings.put(id, run);
            links.ask(number, run.kb);
            if (chance.nextDouble() < answersLost) {
              tap.saw(
                  "set-up-answered",
                  "box",
                  place.id(),
                  "viewing",
                  id,
                  "tuneIn",
                  tuneIn,
                  "how",
                  "swallowed");
              if (resets) {
                r.connection().close();
              }
              return; // it runs, and nobody hears of it
            }
            answered[0] = true;
            tap.saw(
                "set-up-answered",
                "box",
                place.id(),
                "viewing",
                id,
                "tuneIn",
                tuneIn,
                "how",
                "plays");
            r.response().putHeader("Content-Type", "application/vnd.apple.mpegurl");
            answer(r, 201, badPlaylists ? "<html>not a playlist</html>" : multivariant(run));
            if (kind.loadInAnswers) {
              note(
                  front,
                  String.format(java.util.Locale.ROOT, "{\"link\":%.3f}", links.linkLoad(number)),
                  0);
            }
          });
    }

    /** A cold box that is pushed falls over and stays down. */
    private boolean cold() {
      long now = System.currentTimeMillis();
      if (now - startedAt >= kind.coldMs) {
        return false;
      }
      coldSends.removeIf(at -> at < now - kind.fallAfterMs);
      coldSends.add(now);
      double pace = kind.streams * 1000.0 / kind.coldMs * warmth();
      if (coldSends.size() > Math.max(1, kind.fallMultiple * pace * kind.fallAfterMs / 1000)) {
        tap.saw("box-fell", "box", place.id());
        vanish();
        return true;
      }
      return false;
    }

    private String multivariant(Running run) {
      StringBuilder s =
          new StringBuilder("#EXTM3U\n#EXT-X-VERSION:4\n#EXT-X-INDEPENDENT-SEGMENTS\n");
      for (int i = 0; i < kind.ladderKb.length; i++) {
        s.append("#EXT-X-STREAM-INF:BANDWIDTH=")
            .append(Math.round(8000 * rate(run.title, run.pack, i)))
            .append(",CODECS=\"avc1.4d401e,mp4a.40.2\"\nrung")
            .append(i)
            .append("/media.m3u8\n");
      }
      return s.toString();
    }

    private void rung(HttpServerRequest r, String id, Buffer body) {
      Running run = viewings.get(id);
      int to;
      try {
        to = JSON.readTree(body.getBytes()).path("rung").asInt(-1);
      } catch (java.io.IOException e) {
        to = -1;
      }
      tap.saw("rung", "box", place.id(), "viewing", id, "rung", to);
      if (silent || hung) {
        return;
      }
      if (run == null || to < 0 || to >= kind.ladderKb.length) {
        answer(r, run == null ? 404 : 400, "");
        return;
      }
      double kb = rate(run.title, run.pack, to);
      links.ask(number, kb - run.kb);
      run.kb = kb;
      run.rung = to;
      answer(r, 200, "");
    }

    private void end(HttpServerRequest r, String id) {
      tap.saw("ended", "box", place.id(), "viewing", id, "why", "asked");
      if (silent || hung) {
        return;
      }
      int tuneIn =
          r.getParam("tuneIn") == null ? Integer.MAX_VALUE : Integer.parseInt(r.getParam("tuneIn"));
      endedIds.merge(id, tuneIn, Math::max);
      Running run = viewings.get(id);
      if (run != null) {
        forget(run);
      }
      answer(r, run == null ? 404 : 204, "");
    }

    private void forget(Running run) {
      if (viewings.remove(run.id, run)) {
        links.ask(number, -run.kb);
      }
    }

    private void media(HttpServerRequest r, String rest) {
      int slash = rest.indexOf('/');
      Running run = slash < 0 ? null : viewings.get(rest.substring(0, slash));
      String at = slash < 0 ? "" : rest.substring(slash + 1);
      if (run == null) {
        answer(r, 410, "");
        return;
      }
      run.askedAt = System.currentTimeMillis();
      if (at.equals("media.m3u8")) {
        StringBuilder s =
            new StringBuilder(
                "#EXTM3U\n#EXT-X-VERSION:4\n#EXT-X-TARGETDURATION:1\n"
                    + "#EXT-X-MEDIA-SEQUENCE:0\n#EXT-X-PLAYLIST-TYPE:VOD\n");
        for (int i = 0; i < SEGMENTS; i++) {
          s.append("#EXTINF:1.0,\nsegments/").append(i).append(".ts\n");
        }
        answer(r, 200, s.append("#EXT-X-ENDLIST\n").toString());
      } else if (at.matches("segments/[0-9]{1,3}\\.ts")) {
        long bytes = Math.round(run.kb * 1000);
        r.response()
            .putHeader("Content-Type", "video/mp2t")
            .putHeader("Content-Length", Long.toString(bytes))
            .putHeader("Rung", Integer.toString(run.rung));
        sending.add(new Sending(run, r.response(), bytes));
      } else {
        answer(r, 404, "");
      }
    }

    /* ---- time ---- */

    private void tick() {
      if (hung || silent) {
        return;
      }
      double share = links.share(number);
      sending.removeIf(
          s -> {
            if (s.to.closed() || s.to.ended()) {
              return true;
            }
            if (!viewings.containsKey(s.of.id)) {
              s.to.reset();
              return true;
            }
            s.due += s.of.kb * 1000 * share * AHEAD * TICK_MS / 1000;
            if (s.to.writeQueueFull()) {
              s.due = 0; // its reader is slower than the link
              return false;
            }
            int bytes = (int) Math.min(s.left, s.due);
            s.due -= bytes;
            s.left -= bytes;
            s.to.write(Buffer.buffer(new byte[bytes]));
            if (s.left < 1) {
              s.to.end();
              return true;
            }
            return false;
          });
    }

    private double lastShare = 1;

    private void everySecond() {
      if (hung || silent || !up) {
        return;
      }
      long now = System.currentTimeMillis();
      for (Running run : List.copyOf(viewings.values())) {
        boolean busy = sending.stream().anyMatch(s -> s.of == run);
        if (!busy && now - run.askedAt > kind.leaseMs) {
          tap.saw("ended", "box", place.id(), "viewing", run.id, "why", "lease");
          endedIds.put(run.id, Integer.MAX_VALUE);
          forget(run);
        }
      }
      double share = 0.5 * lastShare + 0.5 * links.share(number);
      boolean wasShort = lastShare < 0.98;
      lastShare = share;
      boolean tells =
          kind.tellMs > 0 && (now / 1000 + number) % Math.max(1, kind.tellMs / 1000) == 0;
      for (int front : List.copyOf(listeners.keySet())) {
        String note =
            share < 0.98 || wasShort
                ? String.format(java.util.Locale.ROOT, "{\"share\":%.3f}", Math.min(1, share))
                : "";
        note(front, note, kind.seeMs + extraNoteMs);
        if (tells) {
          note(
              front,
              String.format(java.util.Locale.ROOT, "{\"link\":%.3f}", links.linkLoad(number)),
              kind.seeMs + extraNoteMs);
        }
      }
    }

    private void notes(HttpServerRequest r) {
      int front = Integer.parseInt(r.getParam("front"));
      HttpServerResponse to = r.response().setChunked(true);
      listeners.computeIfAbsent(front, f -> new LinkedHashSet<>()).add(to);
      to.closeHandler(
          v ->
              listeners.computeIfPresent(
                  front,
                  (f, all) -> {
                    all.remove(to);
                    return all.isEmpty() ? null : all;
                  }));
      to.write("{\"life\":\"" + life + "\",\"ageMs\":" + ageMs() + "}\n");
    }

    private void note(int front, String text, int lateMs) {
      int mine = life;
      vertx.setTimer(
          Math.max(1, lateMs),
          t -> {
            if (mine == life && !silent && !hung) {
              for (HttpServerResponse to : listeners.getOrDefault(front, Set.of())) {
                if (!to.closed() && !to.writeQueueFull()) {
                  to.write(text + "\n");
                }
              }
            }
          });
    }
  }
}
