package linengauge.site;

import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import linengauge.Deployment;
import linengauge.PackageSettings;
import linengauge.Span;
import linengauge.flow.FlowSettings;
import linengauge.flow.ListenerSettings;
import linengauge.session.SessionManager;
import linengauge.vrrp.NodeAddress;
import linengauge.vrrp.RouterSettings;
import linengauge.work.WorkSettings;

/**
 * The settings of a site file, grouped by the component that uses them. Values whose names end in
 * Ms are in milliseconds.
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
    /** Parses "host:port". */
    public static Address parse(String text) {
      int colon = text.lastIndexOf(':');
      return new Address(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    @Override
    public String toString() {
      return host + ":" + port;
    }
  }

  /** This front: its number in the fleet, its building and its listeners; words may be absent. */
  public record Front(int number, String building, String viewers, String control, String words) {}

  /**
   * All fronts: their count, their datagram addresses, and the datagrams read per sender and
   * second.
   */
  public record Fronts(int count, Map<String, String> words, int wordsPerSecond) {}

  /** One rung of the ladder: its rate in kB/s and the value of one second of it. */
  public record Rung(double kb, double value) {}

  /**
   * A package. Where absent, rateFactor is 1, the rungs are those of the whole ladder, seats is 0
   * and paidAtSetUp is false.
   */
  public record Package(
      String name,
      double value,
      int joinTargetMs,
      Double rateFactor,
      Integer lowestRung,
      Integer highestRung,
      Integer seats,
      Boolean paidAtSetUp) {}

  /** A kind of box and the number of streams it can serve. */
  public record Kind(String name, int streams) {}

  /** The boxes and the links that they share; rates are in kB/s. */
  public record Fleet(
      int cells,
      int racks,
      List<Kind> kinds,
      double linksKb,
      double linkKbPerWeight,
      double uplinkKb,
      int shareLatenessMs) {}

  /** How boxes warm up, lose capacity and drain, and the budget for retries. */
  public record Rules(
      int coldMs,
      double startCapacity,
      double fallMultiple,
      int fallAfterMs,
      int drainGraceMs,
      double furtherFree,
      double furtherShare,
      int furtherMs) {}

  /** What a front is permitted to do, and the prices of probes and building crossings. */
  public record Permits(
      int tuneIns,
      boolean messages,
      boolean probes,
      boolean reportsUplink,
      double probePrice,
      double crossingPrice,
      int longestAdviceMs) {}

  /** A title and the consecutive cells that hold it, beginning with the first. */
  public record TitleCells(String name, int first, int inRow) {}

  /** Titles by cell. If anywhere is set, titles that are not listed may be requested too. */
  public record Titles(boolean anywhere, List<TitleCells> cells) {}

  /** The discovery service for boxes, and the retry and time limits of its client. */
  public record Discovery(
      String address, int retryFirstMs, int retryMostMs, int silenceMs, int lineBytes) {}

  /** The listeners for viewers: limits of each connection and of all together. */
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

  /** Flow control settings of the whole front; totals are divided among its event loops. */
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

  /** The listener for operators, with its own limits. */
  public record Control(int connections, int idleMs, int requestLineBytes, int headerBytes) {}

  /** Calls to boxes: connections, time limits, attempts and read sizes. */
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

  /** Limits of the session manager. */
  public record SessionLimits(
      int viewings,
      int idleMs,
      int adviceMs,
      int beatMs,
      int lateBeatMs,
      int answerMarginMs,
      int waitingAsks) {}

  /**
   * Background work: its share of the session loop's time and its bytes per window, and the part of
   * both that remains while the loop is late.
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
    public WorkSettings settings() {
      return new WorkSettings(
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

  /** A virtual router: its VRRP settings and the listener for viewers at its shared addresses. */
  public record Router(
      int vrid,
      int priority,
      int advertMs,
      boolean preempt,
      boolean accept,
      List<String> addresses,
      String viewers) {}

  /**
   * VRRP with other fronts; disabled if there are no routers. listen, group, groupInterface,
   * announce and keyFile may be absent.
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

  /** The membership protocol of the fleet; disabled if listen is absent. */
  public record Members(
      String listen, List<String> seeds, String keyFile, int region, int periodMs) {}

  /**
   * Membership by lease; disabled if there are no control machines.
   *
   * @param listen numeric UDP address at which control machines reach this front
   * @param region of this front; its zone is its building
   */
  public record Lease(
      String listen, String keyFile, int region, int heartbeatMs, List<ControlMachine> control) {}

  /** A control machine, which stores leases. */
  public record ControlMachine(int number, int region, String address) {}

  /** How long running viewings may continue after the front has been ordered to stop. */
  public record Stop(int playingMs) {}

  /** The settings with which the module is created. */
  public Deployment deployment() {
    return new Deployment(
        fronts.count,
        front.number,
        buildings.indexOf(front.building),
        packageSettings(),
        ladder.stream().mapToDouble(Rung::kb).toArray(),
        ladder.stream().mapToDouble(Rung::value).toArray(),
        new Deployment.Fleet(
            fleet.cells,
            fleet.racks,
            fleet.kinds.stream().mapToInt(Kind::streams).toArray(),
            fleet.linksKb,
            fleet.linkKbPerWeight,
            fleet.uplinkKb,
            Span.ofMillis(fleet.shareLatenessMs)),
        new Deployment.Rules(
            Span.ofMillis(rules.coldMs),
            rules.startCapacity,
            rules.fallMultiple,
            Span.ofMillis(rules.fallAfterMs),
            rules.furtherFree,
            rules.furtherShare,
            Span.ofMillis(rules.furtherMs)),
        new Deployment.Permissions(
            permits.tuneIns,
            permits.messages,
            permits.probes,
            permits.reportsUplink,
            permits.probePrice,
            permits.crossingPrice,
            0,
            Span.ofMillis(permits.longestAdviceMs)));
  }

  private List<PackageSettings> packageSettings() {
    List<PackageSettings> settings = new ArrayList<>();
    int top = ladder.size() - 1;
    for (Package pack : packages) {
      settings.add(
          new PackageSettings(
              pack.value,
              Span.ofMillis(pack.joinTargetMs),
              valueOr(pack.rateFactor, 1.0),
              valueOr(pack.lowestRung, 0),
              Math.min(top, valueOr(pack.highestRung, top)),
              valueOr(pack.seats, 0),
              valueOr(pack.paidAtSetUp, false)));
    }
    return List.copyOf(settings);
  }

  /** The limits of the session manager. */
  public SessionManager.Limits sessionManagerLimits() {
    return new SessionManager.Limits(
        desk.viewings,
        Span.ofMillis(desk.idleMs),
        Span.ofMillis(desk.adviceMs),
        Span.ofMillis(desk.beatMs),
        Span.ofMillis(desk.lateBeatMs),
        Span.ofMillis(desk.answerMarginMs));
  }

  /**
   * The transfer limit of one event loop. Connections are assigned to the loops in rotation, so a
   * quarter above the even share covers random imbalance.
   */
  private int transfersPerLoop() {
    int even = (flow.transfers + viewers.loops - 1) / viewers.loops;
    return viewers.loops == 1 ? even : even + even / 4 + 8;
  }

  /** The maximum number of bytes reserved by the floors of all transfers on all loops. */
  long floors() {
    return (long) viewers.loops * transfersPerLoop() * (flow.floorBytes + boxes.readBytes);
  }

  /** The flow control settings of each event loop that serves viewers. */
  public FlowSettings flowSettingsPerLoop() {
    return new FlowSettings(
        flow.guards,
        Span.ofMillis(flow.beatMs),
        Span.ofMillis(flow.lateMs),
        Span.ofMillis(flow.windowMs),
        Span.ofMillis(flow.evidenceMs),
        Span.ofMillis(flow.graceMs),
        flow.viewerShare,
        flow.boxShare,
        flow.waitingBytes / viewers.loops,
        maxPendingBytesPerViewer(),
        flow.floorBytes,
        boxes.readBytes,
        transfersPerLoop(),
        Span.ofMillis(flow.letGoWindowMs),
        flow.letGoLeast == 0 ? 0 : Math.max(1, flow.letGoLeast / viewers.loops),
        flow.letGoPerMover);
  }

  /**
   * The maximum number of bytes pending for one viewer. The limit of the connection applies first
   * and is lifted as soon as the viewer reads; the limit of the pool applies when memory is short,
   * and is checked at each tick.
   */
  private long maxPendingBytesPerViewer() {
    return viewers.writeBufferBytes + 2L * boxes.readBytes;
  }

  /** The settings of the listener for viewers. */
  public ListenerSettings listenerSettings() {
    return new ListenerSettings(
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

  /** The virtual routers of this front. The addresses are known to be literals from the checks. */
  public List<RouterSettings> routers() {
    RouterSettings.Extensions additions =
        new RouterSettings.Extensions(
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
            router ->
                new RouterSettings(
                    router.vrid,
                    router.priority,
                    Span.ofMillis(router.advertMs),
                    router.preempt,
                    router.accept,
                    router.addresses.stream().map(Site::parseAddressLiteral).toList(),
                    parseAddressLiteral(Address.parse(vrrp.listen).host()),
                    additions))
        .toList();
  }

  /** Parses an address literal; returns null if the text is none. */
  static NodeAddress parseAddressLiteral(String text) {
    try {
      return text.matches("[0-9.]+|[0-9A-Fa-f:]+")
          ? new NodeAddress(InetAddress.getByName(text).getAddress())
          : null;
    } catch (UnknownHostException e) {
      return null;
    }
  }

  /** The rate in bytes per second of a rung, but at least that of the package's lowest rung. */
  public double bytesOf(int pack, int rung) {
    Package settings = packages.get(pack);
    return 1000
        * ladder.get(Math.max(rung, valueOr(settings.lowestRung, 0))).kb
        * valueOr(settings.rateFactor, 1.0);
  }

  /** The index of each package by name. */
  public Map<String, Integer> packageNumbers() {
    Map<String, Integer> numbers = new HashMap<>();
    for (Package pack : packages) {
      numbers.put(pack.name, numbers.size());
    }
    return numbers;
  }

  /** The cells of each listed title by name. */
  public Map<String, TitleCells> titleCells() {
    Map<String, TitleCells> cellsByTitle = new HashMap<>();
    titles.cells.forEach(title -> cellsByTitle.put(title.name, title));
    return cellsByTitle;
  }

  private static <T> T valueOr(T value, T defaultValue) {
    return value == null ? defaultValue : value;
  }
}
