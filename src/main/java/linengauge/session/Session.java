package linengauge.session;

import linengauge.Moment;
import linengauge.Outside;
import linengauge.PackageTerms;
import linengauge.Policy;
import linengauge.Span;

/**
 * One viewing in the registry, from being taken until its answer is given and no tune-in is out or
 * playing. What happens to it is a call on this handle; every call may come at any time and in any
 * order, and is passed over where it no longer fits.
 */
public final class Session implements Outside.Player {
  private final SessionManager desk;
  private final Viewer viewer;
  private final SessionRequest request;
  private final String id;
  private final Moment deadline;
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
  private Transport.Timer answerBy;

  private Transport.Timer timeOut;
  private Transport.Timer nextLook;
  private Outside.Ending last = Outside.Ending.NEVER_SENT;

  /**
   * What was asked for: title and where it is held (cells from the first, 0: all), package, highest
   * rung, key.
   */
  public record SessionRequest(
      String title,
      int firstCell,
      int cellsInRow,
      int packageIndex,
      PackageTerms packageSettings,
      int ceilingRung,
      Span timeLimit,
      String key) {}

  Session(SessionManager desk, Viewer viewer, SessionRequest ask, String id, Moment patienceEnds) {
    this.desk = desk;
    this.viewer = viewer;
    this.request = ask;
    this.id = id;
    this.deadline = patienceEnds;
  }

  /** The module's handle; the module may have decided before this is known. */
  void setViewing(Policy.Viewing given) {
    this.handle = given;
  }

  /** Unique over all fronts and their restarts. */
  public String id() {
    return id;
  }

  public SessionRequest request() {
    return request;
  }

  public Viewer viewer() {
    return viewer;
  }

  /** The box of the tune-in that is out or plays; null where there is none. */
  public BoxTable.Entry box() {
    return at;
  }

  /** The rung in force, or the one to set up at. */
  public int currentRung() {
    return rung;
  }

  /** How much longer the tune-in that is out is waited for. */
  public Span remainingWait() {
    return waitEnds.since(desk.now()).orMore(Span.NONE);
  }

  public boolean isPlaying() {
    return playing;
  }

  Moment deadline() {
    return deadline;
  }

  boolean isAnswered() {
    return answered;
  }

  boolean isComplete() {
    return answered && !out;
  }

  /**
   * It plays already, at a box that another told this front of; from here on all is as if it had
   * been set up here.
   */
  void adopted(BoxTable.Entry box, Policy.Viewing given) {
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
    at = (BoxTable.Entry) box.line();
    out = true;
    sent = false;
    int n = tuneIns++;
    chosenAt = desk.now();
    lifeChosen = at.incarnation();
    waitEnds = chosenAt.plus(timeout);
    desk.carrier().setUp(this, n);
    timeOut =
        desk.startTimer(
            timeout,
            () -> {
              if (isAwaiting(n)) {
                timedOut(n);
              }
            });
  }

  @Override
  public void askConfirmation(long server) {
    desk.carrier().requestEndConfirmation(this, server);
  }

  private void timedOut(int n) {
    // One that still waits for its connection never ran: that is no secret from the module.
    Outside.Ending how =
        sent ? desk.carrier().classifyTimeout(this, n) : Outside.Ending.NOT_REACHED;
    giveBack(n);
    end(how, false);
  }

  @Override
  public void rung(int to) {
    rung = to;
    if (playing) {
      desk.carrier().changeRung(this);
    }
  }

  @Override
  public void block(Span comeBackAfter, Outside.Refusal reason) {
    if (answer()) {
      desk.counters().rejected++;
      viewer.rejected(comeBackAfter, reason);
      desk.removeIfComplete(this);
    }
  }

  @Override
  public void abort() {
    fail(
        last == Outside.Ending.NO_ANSWER
                || last == Outside.Ending.UNHEARD
                || last == Outside.Ending.HELD_UP
            ? Viewer.FailureCause.NO_ANSWER
            : Viewer.FailureCause.FAILED);
  }

  void fail(Viewer.FailureCause cause) {
    if (answer()) {
      desk.counters().failed++;
      viewer.failed(cause);
      desk.removeIfComplete(this);
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
  public boolean isAwaiting(int tuneIn) {
    return out && !playing && tuneIn == tuneIns - 1;
  }

  /**
   * The last gate, to be asked at once before a set-up is written: it is still waited for, the box
   * has not been heard to drain or be gone while it waited for a connection, and the viewer is
   * still there. And it was chosen lately: guards against a front that stood still between choice
   * and sending, where what was chosen before would leave together with what is chosen after, and
   * for a box that was warm then and has been heard to start since. After a yes it counts as sent.
   */
  public boolean tryBeginSend(int tuneIn) {
    boolean may =
        isAwaiting(tuneIn)
            && !answered
            && at.state() == BoxTable.State.SERVING
            && desk.now().before(deadline)
            && desk.now().since(chosenAt).under(Policy.UNTIL_SENT)
            && at.incarnation() == lifeChosen;
    sent |= may;
    return may;
  }

  /** The box has set it up. Late, or no longer wanted: it is ended there. */
  public void setUpSucceeded(int tuneIn) {
    if (!isAwaiting(tuneIn)) {
      return; // given back when it was no longer waited for
    }
    desk.runGuarded(
        () -> {
          if (!answered && deadline.before(desk.now())) {
            failAndCancel(
                Viewer.FailureCause
                    .NO_ANSWER); // its viewer has gone, and the timer that says so is late itself
            return;
          }
          if (!answered && waitEnds.before(desk.now())) {
            // Guards against a front that stood still: its box was told how long it waits, and no
            // longer holds it.
            timedOut(tuneIn);
            return;
          }
          if (answered || !answer()) {
            giveBack(tuneIn);
            end(Outside.Ending.WITHDRAWN, true);
            return;
          }
          playing = true;
          desk.counters().played++;
          callOff(timeOut);
          viewer.started(
              this); // before anything is thought about it: its viewer waits, and may leave at any
          // moment
          handle.playing(); // passed over where what it said on its way has ended it
          if (playing && Span.NONE.under(desk.idleTimeout())) {
            nextLook = desk.scheduleIdleCheck(desk.idleTimeout(), this);
          }
        });
  }

  /** A tune-in that is out has failed. */
  public void setUpFailed(int tuneIn, Outside.Ending how) {
    if (isAwaiting(tuneIn)) {
      desk.runGuarded(() -> end(how, false));
    }
  }

  /** That attempt, which has ended here, is over at its server too: the server has shown it. */
  public void endConfirmed(int attempt) {
    if (!answered) {
      desk.runGuarded(() -> handle.endConfirmed(attempt));
    }
  }

  /** The box has told the share delivered. */
  public void deliveredShareReported(double share) {
    if (playing) {
      desk.runGuarded(() -> handle.shareDelivered(share));
    }
  }

  /**
   * The box has told what is asked of link and uplink over what they give; NaN for what it does not
   * tell.
   */
  public void loadsReported(double link, double uplink) {
    if (out) {
      desk.runGuarded(() -> handle.loadsTold(link, uplink));
    }
  }

  /** The box has told the rung in force. */
  public void rungReported(int told) {
    if (playing) {
      rung = told;
      desk.runGuarded(() -> handle.rungInForce(told));
    }
  }

  /** The box itself has told that it no longer plays, and how that came. */
  public void boxEnded(Outside.Ending ending, Viewer.EndReason how) {
    if (playing) {
      desk.runGuarded(() -> stop(ending, how));
    }
  }

  /** The box has ended it, restarted, or is lost. */
  public void boxLost() {
    if (playing) {
      desk.runGuarded(
          () -> {
            giveBack(tuneIns - 1); // it may live on at a box that this front alone cannot hear
            stop(Outside.Ending.BROKEN, Viewer.EndReason.BOX_LOST);
          });
    }
  }

  /**
   * The viewer takes less than it is owed and is let go: box, stream and seat are given back now.
   */
  public void dropSlowViewer() {
    desk.runGuarded(
        () -> {
          if (playing) {
            desk.counters().slowViewersDropped++;
            terminate(Viewer.EndReason.LET_GO);
          }
        });
  }

  /** The viewer has gone, asked for its end, or broke the connection on which it waited. */
  public void viewerLeft() {
    desk.runGuarded(() -> terminate(Viewer.EndReason.LEFT));
  }

  void terminate(Viewer.EndReason how) {
    if (playing) {
      giveBack(tuneIns - 1);
      stop(Outside.Ending.FINISHED, how);
    } else if (!answered) {
      answered = true; // nobody waits for it any more
      callOff(answerBy);
      desk.counters().left++;
      handle.viewerLeft();
      if (out) {
        giveBack(tuneIns - 1);
        end(Outside.Ending.WITHDRAWN, true);
      } else {
        desk.removeIfComplete(this);
      }
    }
  }

  /**
   * The front ends in order: a viewing that plays is told so; one that waits is aborted, as it may
   * have run.
   */
  void shutDown() {
    if (playing) {
      terminate(Viewer.EndReason.STOPPED);
    } else if (!answered) {
      failAndCancel(Viewer.FailureCause.FRONT_FAILED);
    }
  }

  /** The answer is given in the module's place; what is out is taken back. */
  void failAndCancel(Viewer.FailureCause cause) {
    fail(cause);
    handle.viewerLeft();
    if (out) {
      giveBack(tuneIns - 1);
      end(Outside.Ending.WITHDRAWN, true);
    }
  }

  /** The module has failed: nothing is asked of it any more. */
  void abandon() {
    if (out) {
      giveBack(tuneIns - 1);
      out = false;
    }
    callOff(timeOut);
    callOff(nextLook);
    if (playing) {
      playing = false;
      viewer.ended(Viewer.EndReason.STOPPED);
    }
    fail(Viewer.FailureCause.FRONT_FAILED);
  }

  private void stop(Outside.Ending ending, Viewer.EndReason how) {
    playing = false;
    end(ending, true);
    viewer.ended(how);
  }

  private void giveBack(int tuneIn) {
    desk.carrier().cancelAtBox(this, at, tuneIn);
  }

  private void end(Outside.Ending how, boolean over) {
    callOff(timeOut);
    callOff(nextLook);
    out = false;
    last = how;
    viewer.attemptEnded(tuneIns - 1, at, how);
    handle.tuneInEnded(how, over, how.confirmed);
    if (!out) {
      at = null;
      desk.removeIfComplete(this);
    }
  }

  /** Ended where nothing was asked of it for the bound; else looked at again when that could be. */
  void checkIdle(Span bound) {
    if (!playing) {
      return;
    }
    // After a stand-still of the front what the viewer asked meanwhile is still to be read.
    Span left = bound.minus(desk.now().since(viewer.lastRequestAt())).plus(desk.recentPause());
    if (Span.NONE.under(left)) {
      nextLook = desk.scheduleIdleCheck(left, this);
    } else {
      terminate(Viewer.EndReason.IDLE);
    }
  }

  /** The last resort by which the answer is given. */
  void setDeadlineTimer(Transport.Timer wake) {
    answerBy = wake;
  }

  private static void callOff(Transport.Timer wake) {
    if (wake != null) {
      wake.cancel();
    }
  }
}
