package linengauge.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import linengauge.Moment;
import linengauge.Span;
import linengauge.membership.Member;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Each guard of the front: with it the case holds, without it breaks. */
class LeaseAgentGuardsTest {
  private static final LeaseSettings USUAL = LeaseSettings.USUAL;
  private static final int FRONT = 100;

  /** An agent with some of its guards taken out. */
  static class Lacking extends LeaseAgent {
    Lacking(
        LeaseSettings settings,
        Member own,
        long incarnation,
        List<ControlMachine> all,
        LeaseAgent.Port port,
        SplittableRandom chance) {
      super(settings, own, incarnation, all, port, chance);
    }
  }

  /** One that never compares digests, so that another guard stands alone. */
  static class Blind extends Lacking {
    Blind(
        LeaseSettings settings,
        Member own,
        long incarnation,
        List<ControlMachine> all,
        LeaseAgent.Port port,
        SplittableRandom chance) {
      super(settings, own, incarnation, all, port, chance);
    }

    @Override
    protected boolean differs(LeaseMessage.Acknowledgement ack) {
      return false;
    }
  }

  private static LeaseWorld.AgentMaker unless(boolean guarded, LeaseWorld.AgentMaker without) {
    return guarded ? LeaseAgent::new : without;
  }

  /** After a pause of its own a front must not hold it against its control machine. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void aFrontThatStoodStillForgetsWhatItSentBefore(boolean guarded) {
    LeaseWorld.AgentMaker maker =
        unless(
            guarded,
            (settings, own, incarnation, all, port, chance) ->
                new Lacking(settings, own, incarnation, all, port, chance) {
                  @Override
                  protected boolean stoodStill(Moment due, Moment now) {
                    return false;
                  }
                });
    LeaseWorld world = new LeaseWorld(USUAL, 1, 2, 1);
    LeaseWorld.Front front = world.front(FRONT, 1, 1000, null, maker);
    world.run(15_000);
    while (!hasSentJustNow(front)) {
      world.run(1);
    }
    world.pause(front, 5_000);
    world.cut = (from, to) -> to == front; // the answer finds no room where it waits
    world.run(1_000);
    world.cut = (from, to) -> false;
    world.run(15_000);

    assertEquals(guarded, front.agent.figures().failovers() == 0);
    assertTrue(front.holds());
    assertEquals(List.of(), world.broken);
  }

  private static boolean hasSentJustNow(LeaseWorld.Front front) {
    LeaseAgent.Figures figures = front.agent.figures();
    return figures.heartbeats() > figures.acknowledgements();
  }

  /** A clock that runs slow: what it counts as six seconds is longer at the leader. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void aFrontCountsItsLeaseShorterByTheDrift(boolean guarded) {
    LeaseWorld.AgentMaker maker =
        unless(
            guarded,
            (settings, own, incarnation, all, port, chance) ->
                new Lacking(settings, own, incarnation, all, port, chance) {
                  @Override
                  protected Span counted(Span remaining) {
                    return remaining;
                  }
                });
    LeaseWorld world = new LeaseWorld(Cases.withDrift(0.3), 1, 1);
    LeaseWorld.Front front = world.front(FRONT, 0, 1000, null, maker);
    front.rate = 0.72;
    world.run(20_000);
    assertTrue(front.holds());

    world.cut = (from, to) -> from.number == FRONT;
    world.run(20_000);

    assertFalse(world.present(FRONT));
    assertEquals(guarded, world.broken.isEmpty(), "" + world.broken);
  }

  /** An entry that was lost on the way, or kept wrongly, is found and made good. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void aViewThatDiffersIsBegunAnew(boolean guarded) {
    LeaseWorld world = new LeaseWorld(USUAL, 1, 1);
    LeaseWorld.Front front = world.front(FRONT, 0, 1000, null, unless(guarded, Blind::new));
    world.run(10_000);
    world.tamper = LeaseAgentGuardsTest::withoutEntries;
    world.fronts(FRONT + 1, 3, 0);
    world.run(3_000);
    world.tamper = message -> message;
    world.run(10_000);

    assertEquals(guarded ? 4 : 1, front.agent.view().present().size());
    assertEquals(guarded, front.agent.figures().mismatches() > 0);
    assertTrue(front.holds(), "whatever becomes of the view");
  }

  private static LeaseMessage withoutEntries(LeaseMessage message) {
    if (!(message instanceof LeaseMessage.Acknowledgement ack)) {
      return message;
    }
    return new LeaseMessage.Acknowledgement(
        ack.from(),
        ack.sequence(),
        ack.incarnation(),
        ack.listed(),
        ack.registration(),
        ack.remaining(),
        ack.age(),
        ack.latest(),
        ack.upTo(),
        ack.reset(),
        ack.digest(),
        ack.unreachable(),
        List.of());
  }

  /** An answer to the life before, with the same sequence, must not lend its lease to this one. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void anAnswerToAnotherLifeHoldsNothing(boolean guarded) {
    List<LeaseMessage.Heartbeat> sent = new ArrayList<>();
    LeaseWorld.AgentMaker maker =
        unless(
            guarded,
            (settings, own, incarnation, all, port, chance) ->
                new Lacking(settings, own, incarnation, all, port, chance) {
                  @Override
                  protected boolean isOwnLife(LeaseMessage.Acknowledgement ack) {
                    return true;
                  }
                });
    Member own = new Member(FRONT, "127.0.0.1:7100", 0, 0);
    List<ControlMachine> machines = List.of(new ControlMachine(0, 0, "127.0.0.1:7000"));
    LeaseAgent agent =
        maker.make(USUAL, own, 2000, machines, recording(sent), new SplittableRandom(1));
    Moment start = new Moment(0);
    agent.start(start);
    Moment now = start.plus(USUAL.heartbeat());
    agent.step(now);

    LeaseMessage.Acknowledgement ofEarlierLife =
        new LeaseMessage.Acknowledgement(
            0,
            sent.get(0).sequence(),
            1000,
            1000,
            LeaseMessage.Registration.HELD,
            USUAL.lease(),
            Span.NONE,
            0,
            0,
            false,
            new DirectoryView().digest(),
            0,
            List.of());
    agent.heard(now, "127.0.0.1:7000", ofEarlierLife);

    assertEquals(guarded, !agent.holdsLease(now));
  }

  private static LeaseAgent.Port recording(List<LeaseMessage.Heartbeat> sent) {
    return new LeaseAgent.Port() {
      @Override
      public void send(String address, LeaseMessage message) {
        sent.add((LeaseMessage.Heartbeat) message);
      }

      @Override
      public void changed(DirectoryEntry entry) {
        // not looked at
      }

      @Override
      public void superseded(Moment now) {
        // not looked at
      }
    };
  }

  /** Who missed a departure that was dropped since would list the dead for ever. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void aResetEmptiesTheView(boolean guarded) {
    LeaseWorld.AgentMaker without =
        (settings, own, incarnation, all, port, chance) ->
            new Blind(settings, own, incarnation, all, port, chance) {
              @Override
              protected boolean honoursReset() {
                return false;
              }
            };
    LeaseWorld world = new LeaseWorld(Cases.mostMembers(6), 1, 1);

    LeaseWorld.Front watched =
        Cases.frontThatMissesADroppedDeparture(world, guarded ? Blind::new : without);

    assertEquals(guarded, watched.agent.view().entry(Cases.GONE) == null, "the dead one");
  }

  /** Fronts that all start at once must not ask for the whole directory as fast as they can. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void aFrontAsksForSoManyBytesASecond(boolean guarded) {
    LeaseWorld.AgentMaker maker =
        unless(
            guarded,
            (settings, own, incarnation, all, port, chance) ->
                new Lacking(settings, own, incarnation, all, port, chance) {
                  @Override
                  protected Moment budgetAllows(Moment now) {
                    return now;
                  }
                });
    LeaseWorld world = new LeaseWorld(USUAL, 1, 1);
    List<DirectoryChange> all = new ArrayList<>();
    for (int number = 2000; number < 3000; number++) {
      all.add(new DirectoryChange.Registered(new Member(number, "127.0.0.1:9", 1, 1), 1));
    }
    world.run(4_000);
    world.decide(all.toArray(DirectoryChange[]::new));
    LeaseWorld.Front front = world.front(FRONT, 0, 1000, null, maker);

    long most = 0;
    List<Long> bytes = new ArrayList<>();
    for (int i = 0; i < 20_000; i += 10) {
      world.run(10);
      bytes.add(world.bytesToFronts);
      most = Math.max(most, world.bytesToFronts - bytes.get(Math.max(0, bytes.size() - 101)));
    }

    assertEquals(world.truth.digest(), front.agent.view().digest());
    long bound = USUAL.mostBytesASecond() + LeaseCodec.MOST;
    assertEquals(guarded, most <= bound, most + " bytes within a second");
  }

  /** Its control machine dies: a front without another loses its lease and is let go. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void aFrontGoesToTheNextControlMachine(boolean guarded) {
    LeaseWorld.AgentMaker maker =
        unless(
            guarded,
            (settings, own, incarnation, all, port, chance) ->
                new Lacking(settings, own, incarnation, all, port, chance) {
                  @Override
                  protected boolean failsOver() {
                    return false;
                  }
                });
    LeaseWorld world = new LeaseWorld(USUAL, 1, 1, 1, 1);
    LeaseWorld.Front front = world.front(FRONT, 1, 1000, null, maker);
    world.fronts(FRONT + 1, 3, 1); // they go on: the region is not lost
    world.run(15_000);

    world.controls.get(1).up = false;
    boolean held = true;
    for (int i = 0; i < 1_500; i++) {
      world.run(10);
      held &= front.holds();
    }

    assertEquals(guarded, held, "held its lease throughout");
    assertEquals(guarded, world.present(FRONT));
    assertEquals(guarded ? 1 : 0, front.agent.figures().failovers());
  }

  /** A control machine that answers and is cut off from the leader is no use: on to the next. */
  @Test
  void aFrontLeavesAControlMachineThatCannotGrant() {
    LeaseWorld world = new LeaseWorld(USUAL, 1, 1, 1, 1);
    LeaseWorld.Front front = world.front(FRONT, 1, 1000);
    world.run(15_000);

    world.cut = (from, to) -> from.number == 1 && to.number != FRONT;
    boolean held = true;
    for (int i = 0; i < 2_000; i++) {
      world.run(10);
      held &= front.holds();
    }

    assertTrue(held, "held its lease throughout");
    assertEquals(1, world.truth.term());
    assertEquals(0, front.superseded);
  }

  /** Back at its own region's control machine some time after that has come back. */
  @Test
  void aFrontGoesBackToItsOwnRegion() {
    LeaseWorld world = new LeaseWorld(USUAL, 1, 1, 1, 1);
    world.fronts(FRONT, 10, 1);
    world.run(15_000);
    LeaseWorld.Control ofRegion = world.controls.get(1);
    ofRegion.up = false;
    world.run(20_000);
    ofRegion.up = true;
    long before = ofRegion.registrar.figures().heartbeats();
    world.run(10_000);
    assertTrue(ofRegion.registrar.figures().heartbeats() - before < 100, "not all at once");

    world.run(60_000);
    before = ofRegion.registrar.figures().heartbeats();
    world.run(10_000);
    assertEquals(100, ofRegion.registrar.figures().heartbeats() - before, 1);
    assertTrue(world.fronts.stream().allMatch(front -> front.superseded == 0));
  }
}
