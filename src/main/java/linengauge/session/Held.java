package linengauge.session;

import linengauge.Environment;
import linengauge.Moment;
import linengauge.PackageSettings;
import linengauge.Policy;
import linengauge.Span;

/**
 * One viewing in the registry, from being taken until its answer is given and no tune-in is out or
 * playing. What happens to it is a call on this handle; every call may come at any time and in any
 * order, and is passed over where it no longer fits.
 */
public final class Held implements Environment.ViewingPort {
  private final Desk desk;
  private final Viewer viewer;
  private final Ask ask;
  private final String id;
  private final Moment patienceEnds;
  private Policy.Viewing handle;

  /** Until when the tune-in that is out is waited for. */
  private Moment waitEnds = Moment.DISTANT_PAST;

  /** When the module chose the box of the tune-in that is out. */
  private Moment chosenAt = Moment.DISTANT_PAST;

  /** Which life of it, as heard then. */
  private int lifeChosen;

  private BoxTable.Entry at;
  private int rung;
  private int tuneIns;

  /** A tune-in is out, or plays. */
  private boolean out;

  /** The tune-in that is out has been written to its box, or is about to be. */
  private boolean sent;

  private boolean playing;
  private boolean answered;

  /** Called off as soon as what they wait for has come. */
  private Carrier.Wake answerBy;

  private Carrier.Wake timeOut;
  private Carrier.Wake nextLook;
  private Environment.AttemptOutcome last = Environment.AttemptOutcome.NEVER_SENT;

  /**
   * What was asked for: title and where it is held (cells from the first, 0: all), package, highest
   * rung, key.
   */
  public record Ask(
      String title,
      int firstCell,
      int cellsInRow,
      int pack,
      PackageSettings terms,
      int ceiling,
      Span patience,
      String key) {}

  Held(Desk desk, Viewer viewer, Ask ask, String id, Moment patienceEnds) {
    this.desk = desk;
    this.viewer = viewer;
    this.ask = ask;
    this.id = id;
    this.patienceEnds = patienceEnds;
  }

  /** The module's handle; the module may have decided before this is known. */
  void handle(Policy.Viewing given) {
    this.handle = given;
  }

  /** Unique over all fronts and their restarts. */
  public String id() {
    return id;
  }

  public Ask ask() {
    return ask;
  }

  public Viewer viewer() {
    return viewer;
  }

  /** The box of the tune-in that is out or plays; null where there is none. */
  public BoxTable.Entry box() {
    return at;
  }

  /** The rung in force, or the one to set up at. */
  public int rungNow() {
    return rung;
  }

  /** How much longer the tune-in that is out is waited for. */
  public Span waitLeft() {
    return waitEnds.since(desk.now()).max(Span.NONE);
  }

  public boolean isPlaying() {
    return playing;
  }

  Moment patienceEnds() {
    return patienceEnds;
  }

  boolean isAnswered() {
    return answered;
  }

  boolean done() {
    return answered && !out;
  }

  /**
   * It plays already, at a box that another told this front of; from here on all is as if it had
   * been set up here.
   */
  void handedOver(BoxTable.Entry box, Policy.Viewing given) {
    at = box;
    handle = given;
    tuneIns = 1;
    out = true;
    answered = true;
    playing = true;
  }

  /* ---- what the module decides ---- */

  @Override
  public void tuneIn(Policy.MediaBox box, Span timeout) {
    at = (BoxTable.Entry) box.port();
    out = true;
    sent = false;
    int n = tuneIns++;
    chosenAt = desk.now();
    lifeChosen = at.lives();
    waitEnds = chosenAt.plus(timeout);
    desk.carrier().setUp(this, n);
    timeOut =
        desk.wake(
            timeout,
            () -> {
              if (waitsFor(n)) {
                timedOut(n);
              }
            });
  }

  @Override
  public void requestEndConfirmation(long server) {
    desk.carrier().askConfirmation(this, server);
  }

  private void timedOut(int n) {
    // One that still waits for its connection never ran: that is no secret from the module.
    Environment.AttemptOutcome how =
        sent ? desk.carrier().unanswered(this, n) : Environment.AttemptOutcome.NOT_REACHED;
    giveBack(n);
    end(how, false);
  }

  @Override
  public void setRung(int to) {
    rung = to;
    if (playing) {
      desk.carrier().rung(this);
    }
  }

  @Override
  public void reject(Span comeBackAfter, Environment.RejectionReason reason) {
    if (answer()) {
      desk.counts().blocked++;
      viewer.blocked(comeBackAfter, reason);
      desk.release(this);
    }
  }

  @Override
  public void fail() {
    abort(
        last == Environment.AttemptOutcome.NO_ANSWER
                || last == Environment.AttemptOutcome.UNHEARD
                || last == Environment.AttemptOutcome.HELD_UP
            ? Viewer.Cause.NO_ANSWER
            : Viewer.Cause.FAILED);
  }

  void abort(Viewer.Cause cause) {
    if (answer()) {
      desk.counts().aborted++;
      viewer.aborted(cause);
      desk.release(this);
    }
  }

  /** The one place that gives a viewing's answer: true the first time, and never again. */
  private boolean answer() {
    if (answered) {
      return false;
    }
    answered = true;
    callOff(answerBy);
    return true;
  }

  /* ---- what the carrier tells ---- */

  /** That tune-in is out, or is to be sent, and has not been answered. */
  public boolean waitsFor(int tuneIn) {
    return out && !playing && tuneIn == tuneIns - 1;
  }

  /**
   * The last gate, to be asked at once before a set-up is written: it is still waited for, the box
   * has not been heard to drain or be gone while it waited for a connection, and the viewer is
   * still there. And it was chosen lately: guards against a front that stood still between choice
   * and sending, where what was chosen before would leave together with what is chosen after, and
   * for a box that was warm then and has been heard to start since. After a yes it counts as sent.
   */
  public boolean sendable(int tuneIn) {
    boolean may =
        waitsFor(tuneIn)
            && !answered
            && at.state() == BoxTable.State.SERVING
            && desk.now().isBefore(patienceEnds)
            && desk.now().since(chosenAt).isShorterThan(Policy.MAX_SEND_DELAY)
            && at.lives() == lifeChosen;
    sent |= may;
    return may;
  }

  /** The box has set it up. Late, or no longer wanted: it is ended there. */
  public void plays(int tuneIn) {
    if (!waitsFor(tuneIn)) {
      return; // given back when it was no longer waited for
    }
    desk.call(
        () -> {
          if (!answered && patienceEnds.isBefore(desk.now())) {
            giveUp(
                Viewer.Cause
                    .NO_ANSWER); // its viewer has gone, and the timer that says so is late itself
            return;
          }
          if (!answered && waitEnds.isBefore(desk.now())) {
            // Guards against a front that stood still: its box was told how long it waits, and no
            // longer holds it.
            timedOut(tuneIn);
            return;
          }
          if (answered || !answer()) {
            giveBack(tuneIn);
            end(Environment.AttemptOutcome.WITHDRAWN, true);
            return;
          }
          playing = true;
          desk.counts().played++;
          callOff(timeOut);
          viewer.plays(
              this); // before anything is thought about it: its viewer waits, and may leave at any
          // moment
          handle.playbackStarted(); // passed over where what it said on its way has ended it
          if (playing && Span.NONE.isShorterThan(desk.idle())) {
            nextLook = desk.lookAfter(desk.idle(), this);
          }
        });
  }

  /** A tune-in that is out has failed. */
  public void failed(int tuneIn, Environment.AttemptOutcome how) {
    if (waitsFor(tuneIn)) {
      desk.call(() -> end(how, false));
    }
  }

  /** That attempt, which has ended here, is over at its server too: the server has shown it. */
  public void endConfirmed(int attempt) {
    if (!answered) {
      desk.call(() -> handle.endConfirmed(attempt));
    }
  }

  /** The box has told the share delivered. */
  public void shareDelivered(double share) {
    if (playing) {
      desk.call(() -> handle.shareDelivered(share));
    }
  }

  /**
   * The box has told what is asked of link and uplink over what they give; NaN for what it does not
   * tell.
   */
  public void loadsTold(double link, double uplink) {
    if (out) {
      desk.call(() -> handle.loadsReported(link, uplink));
    }
  }

  /** The box has told the rung in force. */
  public void rungInForce(int told) {
    if (playing) {
      rung = told;
      desk.call(() -> handle.rungReported(told));
    }
  }

  /** The box itself has told that it no longer plays, and how that came. */
  public void boxEnded(Environment.AttemptOutcome ending, Viewer.End how) {
    if (playing) {
      desk.call(() -> stop(ending, how));
    }
  }

  /** The box has ended it, restarted, or is lost. */
  public void boxLost() {
    if (playing) {
      desk.call(
          () -> {
            giveBack(tuneIns - 1); // it may live on at a box that this front alone cannot hear
            stop(Environment.AttemptOutcome.BROKEN, Viewer.End.BOX_LOST);
          });
    }
  }

  /**
   * The viewer takes less than it is owed and is let go: box, stream and seat are given back now.
   */
  public void letGo() {
    desk.call(
        () -> {
          if (playing) {
            desk.counts().letGo++;
            leave(Viewer.End.LET_GO);
          }
        });
  }

  /** The viewer has gone, asked for its end, or broke the connection on which it waited. */
  public void viewerLeft() {
    desk.call(() -> leave(Viewer.End.LEFT));
  }

  void leave(Viewer.End how) {
    if (playing) {
      giveBack(tuneIns - 1);
      stop(Environment.AttemptOutcome.FINISHED, how);
    } else if (!answered) {
      answered = true; // nobody waits for it any more
      callOff(answerBy);
      desk.counts().left++;
      handle.viewerLeft();
      if (out) {
        giveBack(tuneIns - 1);
        end(Environment.AttemptOutcome.WITHDRAWN, true);
      } else {
        desk.release(this);
      }
    }
  }

  /**
   * The front ends in order: a viewing that plays is told so; one that waits is aborted, as it may
   * have run.
   */
  void frontStops() {
    if (playing) {
      leave(Viewer.End.STOPPED);
    } else if (!answered) {
      giveUp(Viewer.Cause.FRONT_FAILED);
    }
  }

  /** The answer is given in the module's place; what is out is taken back. */
  void giveUp(Viewer.Cause cause) {
    abort(cause);
    handle.viewerLeft();
    if (out) {
      giveBack(tuneIns - 1);
      end(Environment.AttemptOutcome.WITHDRAWN, true);
    }
  }

  /** The module has failed: nothing is asked of it any more. */
  void frontFailed() {
    if (out) {
      giveBack(tuneIns - 1);
      out = false;
    }
    callOff(timeOut);
    callOff(nextLook);
    if (playing) {
      playing = false;
      viewer.ended(Viewer.End.STOPPED);
    }
    abort(Viewer.Cause.FRONT_FAILED);
  }

  private void stop(Environment.AttemptOutcome ending, Viewer.End how) {
    playing = false;
    end(ending, true);
    viewer.ended(how);
  }

  private void giveBack(int tuneIn) {
    desk.carrier().withdraw(this, at, tuneIn);
  }

  private void end(Environment.AttemptOutcome how, boolean over) {
    callOff(timeOut);
    callOff(nextLook);
    out = false;
    last = how;
    viewer.attemptEnded(tuneIns - 1, at, how);
    handle.tuneInEnded(how, over, how.confirmed);
    if (!out) {
      at = null;
      desk.release(this);
    }
  }

  /** Ended where nothing was asked of it for the bound; else looked at again when that could be. */
  void look(Span bound) {
    if (!playing) {
      return;
    }
    // After a stand-still of the front what the viewer asked meanwhile is still to be read.
    Span left = bound.minus(desk.now().since(viewer.lastAsked())).plus(desk.unseen());
    if (Span.NONE.isShorterThan(left)) {
      nextLook = desk.lookAfter(left, this);
    } else {
      leave(Viewer.End.IDLE);
    }
  }

  /** The last resort by which the answer is given. */
  void answerBy(Carrier.Wake wake) {
    answerBy = wake;
  }

  private static void callOff(Carrier.Wake wake) {
    if (wake != null) {
      wake.cancel();
    }
  }
}
