package linengauge.site;

import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import linengauge.Headend;
import linengauge.PackageTerms;
import linengauge.Span;
import linengauge.flow.DoorTerms;
import linengauge.flow.FlowTerms;
import linengauge.session.Desk;
import linengauge.vrrp.NodeAddress;
import linengauge.vrrp.RouterTerms;
import linengauge.work.WorkTerms;

/**
 * What a site file says, each part as its reader needs it. Spans ending in Ms are in milliseconds.
 */
public record Site(
    String site,
    List<String> buildings,
    Front front,
    Fronts fronts,
    List<Rung> ladder,
    List<Package> packages,
    Fleet fleet,
    Rules rules,
    Permits permits,
    Titles titles,
    Discovery list,
    Viewers viewers,
    Boxes boxes,
    SessionLimits desk,
    Flow flow,
    Control control,
    Work work,
    Vrrp vrrp,
    Members members,
    Lease lease,
    Stop stop) {

  /** A host and a port. */
  public record Address(String host, int port) {
    /** Reads "host:port". */
    public static Address parse(String text) {
      int colon = text.lastIndexOf(':');
      return new Address(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    @Override
    public String toString() {
      return host + ":" + port;
    }
  }

  /**
   * This front: its number in the fleet, its building, and where it listens; words may be absent.
   */
  public record Front(int number, String building, String viewers, String control, String words) {}

  /** All fronts: how many, where each hears datagrams, and how many a second of one are read. */
  public record Fronts(int count, Map<String, String> words, int wordsPerSecond) {}

  /** One rung of the ladder: its rate, and what a second of it is worth. */
  public record Rung(double kb, double value) {}

  /** rateFactor, rungs, seats and payment may be absent: 1, the whole ladder, 0, false. */
  public record Package(
      String name,
      double value,
      int joinTargetMs,
      Double rateFactor,
      Integer lowestRung,
      Integer highestRung,
      Integer seats,
      Boolean paidAtSetUp) {}

  /** A kind of box: how many streams it takes. */
  public record Kind(String name, int streams) {}

  /** The boxes and the links that they share, in kB a second. */
  public record Fleet(
      int cells,
      int racks,
      List<Kind> kinds,
      double linksKb,
      double linkKbPerWeight,
      double uplinkKb,
      int shareLatenessMs) {}

  /** How boxes warm up, fall and drain, and how many further tune-ins are free. */
  public record Rules(
      int coldMs,
      double startCapacity,
      double fallMultiple,
      int fallAfterMs,
      int drainGraceMs,
      double furtherFree,
      double furtherShare,
      int furtherMs) {}

  /** What the operators permit a front, and what it costs. */
  public record Permits(
      int tuneIns,
      boolean messages,
      boolean probes,
      boolean reportsUplink,
      double probePrice,
      double crossingPrice,
      int longestAdviceMs) {}

  /** A title that is held by so many cells in a row, from the first on. */
  public record TitleCells(String name, int first, int inRow) {}

  /** Which cells hold which titles; anywhere: titles that are not named may be asked for too. */
  public record Titles(boolean anywhere, List<TitleCells> cells) {}

  /** The service that tells of boxes, and how a front follows it. */
  public record Discovery(
      String address, int retryFirstMs, int retryMostMs, int silenceMs, int lineBytes) {}

  /** The listeners for viewers: their bounds, each connection's and all of them together. */
  public record Viewers(
      int loops,
      int connections,
      int requestLineBytes,
      int headerBytes,
      int headersMs,
      int keepAliveMs,
      int backlog,
      int longestPatienceMs,
      int writeBufferBytes,
      int perAddress,
      int turningAway,
      int firstByteMs,
      int pipelined,
      int atOnce,
      int headerCount,
      int sendBufferBytes,
      int keyAsks,
      int keyWindowMs,
      int keys) {}

  /** Figures of the whole front; sums are parted among its loops. */
  public record Flow(
      boolean guards,
      int beatMs,
      int lateMs,
      int windowMs,
      int evidenceMs,
      int graceMs,
      double viewerShare,
      double boxShare,
      long waitingBytes,
      int floorBytes,
      int transfers,
      int letGoWindowMs,
      int letGoLeast,
      double letGoPerMover) {}

  /** The listener for operators, with bounds of its own. */
  public record Control(int connections, int idleMs, int requestLineBytes, int headerBytes) {}

  /** Calls to boxes: connections, waits, tries, and how much is read. */
  public record Boxes(
      int connectMs,
      int connections,
      int waitingSetUps,
      int mediaConnections,
      int waitingMedia,
      int playlistBytes,
      int readBytes,
      int firstByteMs,
      int mediaSilenceMs,
      int probeMs,
      int keepAliveMs,
      int endTries,
      int endRetryMs,
      int waitingEnds,
      int rungTries,
      int notesSilenceMs,
      int notesRetryMs,
      int notesTries,
      int notesLingerMs,
      int noteBytes) {}

  /** What the desk holds and how long it waits, at the most. */
  public record SessionLimits(
      int viewings,
      int idleMs,
      int adviceMs,
      int beatMs,
      int lateBeatMs,
      int answerMarginMs,
      int waitingAsks) {}

  /**
   * Background work: in any window so much of the desk's time and so many bytes, and a part of both
   * while it is late.
   */
  public record Work(
      int windowMs,
      int deskMs,
      long bytes,
      double floor,
      int lateMs,
      int jobs,
      int atOnce,
      int ageingMs,
      int firstPauseMs,
      int mostPauseMs) {
    public WorkTerms settings() {
      return new WorkTerms(
          Span.ofMillis(windowMs),
          Span.ofMillis(deskMs),
          bytes,
          floor,
          Span.ofMillis(lateMs),
          jobs,
          atOnce,
          Span.ofMillis(ageingMs),
          Span.ofMillis(firstPauseMs),
          Span.ofMillis(mostPauseMs));
    }
  }

  /**
   * One shared address: VRRP's settings for it, and where this front takes the viewers that come by
   * it.
   */
  public record Router(
      int vrid,
      int priority,
      int advertMs,
      boolean preempt,
      boolean accept,
      List<String> addresses,
      String viewers) {}

  /**
   * Pairing with other fronts behind shared addresses; without routers there is none. listen, group
   * and its interface, announce and keyFile may be absent.
   */
  public record Vrrp(
      String listen,
      List<String> partners,
      String group,
      String groupInterface,
      String announce,
      String keyFile,
      boolean ipv4PseudoHeader,
      int datagramsAtOnce,
      int receiveBytes,
      int advertsPerInterval,
      boolean frozen,
      int preemptDelayMs,
      int paceMs,
      int flapHalfLifeMs,
      double flapsBeforeHold,
      int deafAfter,
      int unwellMinus,
      int unwellAfterMs,
      int overloadedMs,
      List<Router> routers) {}

  /**
   * Who of the fleet is there; without an address to listen at, this front asks nobody and tells
   * nobody.
   */
  public record Members(
      String listen, List<String> seeds, String keyFile, int region, int periodMs) {}

  /**
   * Membership by lease; without control machines this front takes no part.
   *
   * @param listen UDP, in numbers, where control machines answer this front
   * @param region of this front; its zone is its building
   */
  public record Lease(
      String listen, String keyFile, int region, int heartbeatMs, List<ControlMachine> control) {}

  /** A machine that keeps leases. */
  public record ControlMachine(int number, int region, String address) {}

  /** How long what plays may go on once the front is told to stop. */
  public record Stop(int playingMs) {}

  /** What the module is told at its start. */
  public Headend deployment() {
    return new Headend(
        fronts.count,
        front.number,
        buildings.indexOf(front.building),
        packageTerms(),
        ladder.stream().mapToDouble(Rung::kb).toArray(),
        ladder.stream().mapToDouble(Rung::value).toArray(),
        new Headend.Fleet(
            fleet.cells,
            fleet.racks,
            fleet.kinds.stream().mapToInt(Kind::streams).toArray(),
            fleet.linksKb,
            fleet.linkKbPerWeight,
            fleet.uplinkKb,
            Span.ofMillis(fleet.shareLatenessMs)),
        new Headend.Rules(
            Span.ofMillis(rules.coldMs),
            rules.startCapacity,
            rules.fallMultiple,
            Span.ofMillis(rules.fallAfterMs),
            rules.furtherFree,
            rules.furtherShare,
            Span.ofMillis(rules.furtherMs)),
        new Headend.Permits(
            permits.tuneIns,
            permits.messages,
            permits.probes,
            permits.reportsUplink,
            permits.probePrice,
            permits.crossingPrice,
            0,
            Span.ofMillis(permits.longestAdviceMs)));
  }

  private List<PackageTerms> packageTerms() {
    List<PackageTerms> terms = new ArrayList<>();
    int top = ladder.size() - 1;
    for (Package p : packages) {
      terms.add(
          new PackageTerms(
              p.value,
              Span.ofMillis(p.joinTargetMs),
              or(p.rateFactor, 1.0),
              or(p.lowestRung, 0),
              Math.min(top, or(p.highestRung, top)),
              or(p.seats, 0),
              or(p.paidAtSetUp, false)));
    }
    return List.copyOf(terms);
  }

  /** What the core is bounded by. */
  public Desk.Bounds sessionManagerLimits() {
    return new Desk.Bounds(
        desk.viewings,
        Span.ofMillis(desk.idleMs),
        Span.ofMillis(desk.adviceMs),
        Span.ofMillis(desk.beatMs),
        Span.ofMillis(desk.lateBeatMs),
        Span.ofMillis(desk.answerMarginMs));
  }

  /**
   * Transfers of one loop: connections are dealt out in turns, so a quarter over its even part
   * covers what chance does.
   */
  private int transfersOfLoop() {
    int even = (flow.transfers + viewers.loops - 1) / viewers.loops;
    return viewers.loops == 1 ? even : even + even / 4 + 8;
  }

  /** Bytes that all floors of all loops take at most. */
  long floors() {
    return (long) viewers.loops * transfersOfLoop() * (flow.floorBytes + boxes.readBytes);
  }

  /** What slow peers are held to on each loop of viewers' connections. */
  public FlowTerms flowSettingsPerLoop() {
    return new FlowTerms(
        flow.guards,
        Span.ofMillis(flow.beatMs),
        Span.ofMillis(flow.lateMs),
        Span.ofMillis(flow.windowMs),
        Span.ofMillis(flow.evidenceMs),
        Span.ofMillis(flow.graceMs),
        flow.viewerShare,
        flow.boxShare,
        flow.waitingBytes / viewers.loops,
        peerBytes(),
        flow.floorBytes,
        boxes.readBytes,
        transfersOfLoop(),
        Span.ofMillis(flow.letGoWindowMs),
        flow.letGoLeast == 0 ? 0 : Math.max(1, flow.letGoLeast / viewers.loops),
        flow.letGoPerMover);
  }

  /**
   * What one viewer may have waiting. The connection's own bound comes first and is lifted the
   * moment the viewer takes; the pool's is for want of room, and looked at by the beat.
   */
  private long peerBytes() {
    return viewers.writeBufferBytes + 2L * boxes.readBytes;
  }

  /** What the door is held to. */
  public DoorTerms listenerSettings() {
    return new DoorTerms(
        flow.guards,
        viewers.connections,
        viewers.perAddress,
        viewers.turningAway,
        Span.ofMillis(viewers.firstByteMs),
        Span.ofMillis(viewers.headersMs),
        Span.ofMillis(viewers.keepAliveMs),
        viewers.pipelined,
        viewers.keyAsks,
        Span.ofMillis(viewers.keyWindowMs),
        viewers.keys);
  }

  /** The virtual routers of this front. The file has been checked: its addresses are literals. */
  public List<RouterTerms> routers() {
    RouterTerms.Additions more =
        new RouterTerms.Additions(
            vrrp.advertsPerInterval,
            vrrp.frozen,
            Span.ofMillis(vrrp.preemptDelayMs),
            Span.ofMillis(vrrp.paceMs),
            Span.ofMillis(vrrp.flapHalfLifeMs),
            vrrp.flapsBeforeHold,
            vrrp.deafAfter,
            vrrp.unwellMinus,
            Span.ofMillis(vrrp.unwellAfterMs));
    return vrrp.routers.stream()
        .map(
            r ->
                new RouterTerms(
                    r.vrid,
                    r.priority,
                    Span.ofMillis(r.advertMs),
                    r.preempt,
                    r.accept,
                    r.addresses.stream().map(Site::parseAddressLiteral).toList(),
                    parseAddressLiteral(Address.parse(vrrp.listen).host()),
                    more))
        .toList();
  }

  /** An address from its text; null where it is none. */
  static NodeAddress parseAddressLiteral(String text) {
    try {
      return text.matches("[0-9.]+|[0-9A-Fa-f:]+")
          ? new NodeAddress(InetAddress.getByName(text).getAddress())
          : null;
    } catch (UnknownHostException e) {
      return null;
    }
  }

  /** Bytes a second of the lowest rung of a package, or of a rung. */
  public double bytesOf(int pack, int rung) {
    Package p = packages.get(pack);
    return 1000 * ladder.get(Math.max(rung, or(p.lowestRung, 0))).kb * or(p.rateFactor, 1.0);
  }

  /** The place of each package's name in the list. */
  public Map<String, Integer> packageNumbers() {
    Map<String, Integer> numbers = new HashMap<>();
    for (Package p : packages) {
      numbers.put(p.name, numbers.size());
    }
    return numbers;
  }

  /** Where each named title is held. */
  public Map<String, TitleCells> titleCells() {
    Map<String, TitleCells> held = new HashMap<>();
    titles.cells.forEach(t -> held.put(t.name, t));
    return held;
  }

  private static <T> T or(T value, T absent) {
    return value == null ? absent : value;
  }
}
