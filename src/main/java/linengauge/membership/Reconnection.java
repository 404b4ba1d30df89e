package linengauge.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import linengauge.Moment;
import linengauge.Span;
import linengauge.membership.Datagram.Kind;

/**
 * Calls on members that are gone or were never heard, and evens out what two members hold, page by
 * page (anti-entropy). Not in the papers.
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
   * @param seeds addresses to begin with, and to turn to when nobody is there
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

  /** The moment at which it wants to be stepped, at the latest. */
  Moment nextStep() {
    return nextStepAt;
  }

  void setNextStep(Moment at) {
    nextStepAt = at;
  }

  /** A new period's pages may be sent. */
  void startPeriod() {
    pagesSent = 0;
  }

  /**
   * Calls on one that is gone or has never been heard, and asks one that is there for a page of
   * what it holds. Guards against two halves of the fleet that were cut apart and have each given
   * the other up: without it nobody would call across again. It could hurt where many are gone for
   * good: one datagram each such time, until they are forgotten.
   */
  void step(Moment now) {
    if (!Span.NONE.under(settings.regather())) {
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

  /** Of members held for dead, and of seeds that no known member has. */
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

  /** A ping that says what is held of whoever is there, so that it can deny it. */
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

  /** A page that was asked for: the next one follows until there are no more. */
  void onPage(String address, Datagram datagram) {
    if (datagram.sequence() != requestedSequence) {
      return;
    }
    pageFrom = Math.max(0, datagram.argument());
    if (datagram.argument() > 0) {
      requestPage(address);
    }
  }

  /** Another asks for what is held here, from a member's number on. */
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
