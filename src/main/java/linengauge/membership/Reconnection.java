package linengauge.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import linengauge.Moment;
import linengauge.Span;
import linengauge.membership.Datagram.Kind;

/**
 * Contacts dead members and unreached seeds, and synchronizes member tables page by page
 * (anti-entropy). Neither is part of the papers.
 */
final class Reconnection {
  private static final int MAX_PAGES_PER_PERIOD = 32;

  private final MembershipSettings settings;
  private final OwnMember own;
  private final List<String> seeds;
  private final MemberTable table;
  private final Dissemination dissemination;
  private final SplittableRandom random;
  private Moment nextStepAt;
  private int pagesSent;
  private int pageFrom;
  private int requestedSequence;

  /**
   * @param seeds addresses contacted at startup and whenever no other member is reachable
   */
  Reconnection(
      MembershipSettings settings,
      OwnMember own,
      List<String> seeds,
      MemberTable table,
      Dissemination dissemination,
      SplittableRandom random) {
    this.settings = settings;
    this.own = own;
    this.seeds = seeds.stream().filter(seed -> !seed.equals(own.address())).toList();
    this.table = table;
    this.dissemination = dissemination;
    this.random = random;
  }

  /** Returns the time by which {@link #step} has to be called. */
  Moment nextStep() {
    return nextStepAt;
  }

  void setNextStep(Moment at) {
    nextStepAt = at;
  }

  /** Resets the limit on pages for a new period. */
  void startPeriod() {
    pagesSent = 0;
  }

  /**
   * Pings one dead member or unreached seed and requests a page from one that is alive. Without
   * this, two halves of a partitioned fleet that have declared each other dead would never contact
   * each other again. The cost: if many members are gone for good, one datagram per interval until
   * they expire.
   */
  void step(Moment now) {
    if (!Span.NONE.isShorterThan(settings.regather())) {
      nextStepAt = now.plus(settings.deadKept());
      return;
    }
    List<MemberEntry> alive = table.sampleAlive(1, MemberTable.NO_EXCLUSION);
    nextStepAt = now.plus(alive.isEmpty() ? settings.period() : settings.regather());
    List<String> unreachable = unreachableAddresses();
    if (!unreachable.isEmpty()) {
      String address = unreachable.get(random.nextInt(unreachable.size()));
      ping(address);
      if (alive.isEmpty()) {
        requestPage(address);
      }
    }
    if (!alive.isEmpty()) {
      requestPage(alive.get(0).address());
    }
  }

  /** Addresses of dead members and of seeds that are not the address of a known member. */
  private List<String> unreachableAddresses() {
    List<String> unreachable = new ArrayList<>();
    table.all().stream()
        .filter(entry -> entry.is(MemberState.DEAD))
        .forEach(entry -> unreachable.add(entry.address()));
    seeds.stream()
        .filter(seed -> table.all().stream().noneMatch(entry -> entry.address().equals(seed)))
        .forEach(unreachable::add);
    return unreachable;
  }

  /** Sends a ping with the state recorded for that address, so that the receiver can refute it. */
  private void ping(String address) {
    List<MemberUpdate> first = new ArrayList<>(List.of(own.update()));
    table.all().stream()
        .filter(entry -> entry.address().equals(address))
        .forEach(entry -> first.add(entry.update()));
    dissemination.send(Kind.PING, address, dissemination.nextSequence(), 0, first);
  }

  private void requestPage(String address) {
    requestedSequence = dissemination.nextSequence();
    dissemination.send(Kind.PULL, address, requestedSequence, pageFrom, List.of(own.update()));
  }

  /** Handles a requested page and requests the next one until the last. */
  void onPage(String address, Datagram datagram) {
    if (datagram.sequence() != requestedSequence) {
      return;
    }
    pageFrom = Math.max(0, datagram.argument());
    if (datagram.argument() > 0) {
      requestPage(address);
    }
  }

  /** Sends a page of the member table that starts at the requested member number. */
  void onPageRequest(String requesterAddress, Datagram datagram) {
    List<MemberUpdate> all = new ArrayList<>(table.updates());
    all.add(own.update());
    all.sort(Comparator.comparingInt(update -> update.member().number()));
    List<MemberUpdate> page = new ArrayList<>();
    int remainingBytes = Datagram.maxUpdateBytes();
    int next = -1;
    for (MemberUpdate update : all) {
      if (update.member().number() < datagram.argument()) {
        continue;
      }
      remainingBytes -= Datagram.encodedSize(update);
      if (remainingBytes < 0) {
        next = update.member().number();
        break;
      }
      page.add(update);
    }
    pagesSent++;
    if (pagesSent <= MAX_PAGES_PER_PERIOD) {
      dissemination.sendWithoutGossip(Kind.PAGE, requesterAddress, datagram.sequence(), next, page);
    }
  }
}
